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
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final String PLOTS = "/META-INF/resources/webjars/uplot/1.6.30/dist/";

    private Reports() {}

    public static byte[] json(Plan plan, List<Outcome> all) throws IOException {
        Map<String, Object> top = new LinkedHashMap<>();
        top.put("experiment", plan.name);
        top.put("title", plan.title);
        top.put("seed", plan.seed);
        List<Object> plays = new ArrayList<>();
        for (Outcome o : all) {
            Map<String, Object> play = new LinkedHashMap<>();
            play.put("on", o.carrier);
            play.put("policy", o.policy);
            play.put(
                    "verdict",
                    o.noVerdict != null
                            ? "none: " + o.noVerdict
                            : o.good(plan) ? "holds" : "short");
            List<Object> expects = new ArrayList<>();
            for (Plan.Expect e : plan.expects) {
                Map<String, Object> to = new LinkedHashMap<>();
                to.put("figure", e.figure());
                to.put("expected", e.sign() + " " + Tables.plain(e.bound()));
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
                series.put(Figures.SERIES.get(i), o.rows.stream().map(r -> r[at]).toList());
            }
            play.put("by_second", series);
            plays.add(play);
        }
        top.put("plays", plays);
        return JSON.writeValueAsBytes(top);
    }

    public static void html(Plan plan, List<Outcome> all, Path to) throws IOException {
        StringBuilder page = new StringBuilder(head(plan.title, plan.name, plan.seed));
        for (Outcome o : all) {
            page.append("<h2>")
                    .append(safe(o.policy))
                    .append(" on ")
                    .append(o.carrier)
                    .append("</h2>");
            if (o.noVerdict != null) {
                page.append("<p class=short>no verdict: ").append(safe(o.noVerdict)).append("</p>");
            }
            page.append("<table><tr><th>figure<th>is<th>expected<th>");
            for (Plan.Expect e : plan.expects) {
                page.append(row(e, o.figure(e.figure()), o.holds(e)));
            }
            page.append("</table>");
            o.notes.forEach(n -> page.append("<p class=short>").append(safe(n)).append("</p>"));
        }
        page.append("<h2>Faults</h2><ul>");
        for (Plan.Fault f : plan.faults) {
            page.append("<li>")
                    .append(Tables.plain(f.at))
                    .append(" s: ")
                    .append(safe(f.kind))
                    .append(" for ")
                    .append(Tables.plain(f.lasts))
                    .append(" s");
        }
        page.append("</ul>").append(plots(new String(json(plan, all), StandardCharsets.UTF_8)));
        Files.writeString(to, page.toString());
    }

    /** A page up to its first play. */
    public static String head(String title, String name, long seed) throws IOException {
        return "<!doctype html><meta charset=\"utf-8\"><title>"
                + safe(title)
                + "</title><style>"
                + resource("uPlot.min.css")
                + "body{font:14px sans-serif;margin:2em;max-width:1100px}table{border-collapse:collapse}"
                + "td,th{padding:2px 10px;text-align:right}td:first-child{text-align:left}.short{color:#b00}"
                + "</style><h1>"
                + safe(title)
                + "</h1><p>experiment "
                + safe(name)
                + ", seed "
                + seed
                + "</p>";
    }

    /** An expectation's row. */
    public static String row(Plan.Expect e, double is, boolean holds) {
        return "<tr"
                + (holds ? "" : " class=short")
                + "><td>"
                + safe(e.figure())
                + "<td>"
                + Tables.plain(is)
                + "<td>"
                + safe(e.sign())
                + ' '
                + Tables.plain(e.bound())
                + "<td>"
                + (holds ? "holds" : "short");
    }

    /** What happened by the second, drawn from a file's JSON. */
    public static String plots(String json) throws IOException {
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

    public static String safe(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;");
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = Reports.class.getResourceAsStream(PLOTS + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
