package asterpulley.lab.report;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.world.Figures;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes outcomes into files: JSON for scripts, and a page that draws what happened over time and
 * needs no network. The JSON of a run in virtual time holds nothing that differs between two runs
 * of one seed.
 */
public final class Reports {
    private static final ObjectMapper JSON_MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final String UPLOT_FOLDER = "/META-INF/resources/webjars/uplot/1.6.30/dist/";

    private Reports() {}

    public static byte[] toJson(Plan plan, List<RunResult> all) throws IOException {
        Map<String, Object> top = new LinkedHashMap<>();
        top.put("experiment", plan.name);
        top.put("title", plan.title);
        top.put("seed", plan.seed);
        List<Object> plays = new ArrayList<>();
        for (RunResult o : all) {
            Map<String, Object> play = new LinkedHashMap<>();
            play.put("on", o.testbed);
            play.put("policy", o.policy);
            play.put(
                    "verdict",
                    o.noVerdictReason != null
                            ? "none: " + o.noVerdictReason
                            : o.meetsExpectations(plan) ? "holds" : "short");
            List<Object> expects = new ArrayList<>();
            for (Plan.Expectation e : plan.expectations) {
                Map<String, Object> to = new LinkedHashMap<>();
                to.put("figure", e.figure());
                to.put("expected", e.operator() + " " + Tables.formatNumber(e.bound()));
                to.put("is", o.figure(e.figure()));
                to.put("holds", o.holds(e));
                expects.add(to);
            }
            play.put("expect", expects);
            play.put("figures", o.figures);
            play.put("notes", o.notes);
            Map<String, Object> series = new LinkedHashMap<>();
            for (int i = 0; i < Figures.SERIES.size(); i++) {
                int at = i;
                series.put(Figures.SERIES.get(i), o.secondRows.stream().map(r -> r[at]).toList());
            }
            play.put("by_second", series);
            plays.add(play);
        }
        top.put("plays", plays);
        return JSON_MAPPER.writeValueAsBytes(top);
    }

    public static void writeHtml(Plan plan, List<RunResult> all, Path to) throws IOException {
        StringBuilder page = new StringBuilder(pageHead(plan.title, plan.name, plan.seed));
        for (RunResult o : all) {
            page.append("<h2>")
                    .append(escapeHtml(o.policy))
                    .append(" on ")
                    .append(o.testbed)
                    .append("</h2>");
            if (o.noVerdictReason != null) {
                page.append("<p class=short>no verdict: ")
                        .append(escapeHtml(o.noVerdictReason))
                        .append("</p>");
            }
            page.append("<table><tr><th>figure<th>is<th>expected<th>");
            for (Plan.Expectation e : plan.expectations) {
                page.append(expectationRow(e, o.figure(e.figure()), o.holds(e)));
            }
            page.append("</table>");
            o.notes.forEach(
                    n -> page.append("<p class=short>").append(escapeHtml(n)).append("</p>"));
        }
        page.append("<h2>Faults</h2><ul>");
        for (Plan.Fault f : plan.faults) {
            page.append("<li>")
                    .append(Tables.formatNumber(f.at))
                    .append(" s: ")
                    .append(escapeHtml(f.kind))
                    .append(" for ")
                    .append(Tables.formatNumber(f.duration))
                    .append(" s");
        }
        page.append("</ul>")
                .append(plotsHtml(new String(toJson(plan, all), StandardCharsets.UTF_8)));
        Files.writeString(to, page.toString());
    }

    /** A page up to its first play. */
    public static String pageHead(String title, String name, long seed) throws IOException {
        return "<!doctype html><meta charset=\"utf-8\"><title>"
                + escapeHtml(title)
                + "</title><style>"
                + resource("uPlot.min.css")
                + "body{font:14px sans-serif;margin:2em;max-width:1100px}table{border-collapse:collapse}"
                + "td,th{padding:2px 10px;text-align:right}td:first-child{text-align:left}.short{color:#b00}"
                + "</style><h1>"
                + escapeHtml(title)
                + "</h1><p>experiment "
                + escapeHtml(name)
                + ", seed "
                + seed
                + "</p>";
    }

    /** An expectation's row. */
    public static String expectationRow(Plan.Expectation e, double is, boolean holds) {
        return "<tr"
                + (holds ? "" : " class=short")
                + "><td>"
                + escapeHtml(e.figure())
                + "<td>"
                + Tables.formatNumber(is)
                + "<td>"
                + escapeHtml(e.operator())
                + ' '
                + Tables.formatNumber(e.bound())
                + "<td>"
                + (holds ? "holds" : "short");
    }

    /** What happened by the second, drawn from a file's JSON. */
    public static String plotsHtml(String json) throws IOException {
        return "<h2>By the second</h2><div id=plots></div><script>"
                + resource("uPlot.iife.min.js")
                + "</script><script>const plays="
                + json.replace("</", "<\\/")
                + ".plays.filter(p=>Object.keys(p.by_second).length);\n"
                + """
                const colours=["#06c","#c30","#290","#a0a","#880","#444"];
                for (const name of Object.keys((plays[0]||{by_second:{}}).by_second)) {
                  const n=Math.max(...plays.map(p=>p.by_second[name].length));
                  const data=[[...Array(n).keys()].map(i=>i+1),...plays.map(p=>p.by_second[name])];
                  const series=[{label:"second"},...plays.map((p,i)=>({label:p.policy+" on "+p.on,stroke:colours[i%6]}))];
                  new uPlot({title:name,width:1000,height:180,scales:{x:{time:false}},series},data,
                    document.getElementById("plots"));
                }
                """
                + "</script>\n";
    }

    public static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;");
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = Reports.class.getResourceAsStream(UPLOT_FOLDER + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
