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
 * Writes results into files: JSON for scripts, and a self-contained HTML page with plots that needs
 * no network. The JSON of a run in virtual time holds nothing that differs between two runs of one
 * seed.
 */
public final class Reports {
    private static final ObjectMapper JSON_MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final String UPLOT_FOLDER = "/META-INF/resources/webjars/uplot/1.6.30/dist/";

    private Reports() {}

    public static byte[] toJson(Plan plan, List<RunResult> results) throws IOException {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("experiment", plan.name);
        root.put("title", plan.title);
        root.put("seed", plan.seed);
        List<Object> runs = new ArrayList<>();
        for (RunResult result : results) {
            Map<String, Object> run = new LinkedHashMap<>();
            run.put("on", result.testbed);
            run.put("policy", result.policy);
            run.put(
                    "verdict",
                    result.noVerdictReason != null
                            ? "none: " + result.noVerdictReason
                            : result.meetsExpectations(plan) ? "holds" : "short");
            List<Object> expects = new ArrayList<>();
            for (Plan.Expectation expectation : plan.expectations) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("figure", expectation.figure());
                row.put(
                        "expected",
                        expectation.operator() + " " + Tables.formatNumber(expectation.bound()));
                row.put("is", result.figure(expectation.figure()));
                row.put("holds", result.holds(expectation));
                expects.add(row);
            }
            run.put("expect", expects);
            run.put("figures", result.figures);
            run.put("notes", result.notes);
            Map<String, Object> series = new LinkedHashMap<>();
            for (int i = 0; i < Figures.SERIES.size(); i++) {
                int column = i;
                series.put(
                        Figures.SERIES.get(i),
                        result.secondRows.stream().map(row -> row[column]).toList());
            }
            run.put("by_second", series);
            runs.add(run);
        }
        root.put("plays", runs);
        return JSON_MAPPER.writeValueAsBytes(root);
    }

    public static void writeHtml(Plan plan, List<RunResult> results, Path file) throws IOException {
        StringBuilder page = new StringBuilder(pageHead(plan.title, plan.name, plan.seed));
        for (RunResult result : results) {
            page.append("<h2>")
                    .append(escapeHtml(result.policy))
                    .append(" on ")
                    .append(result.testbed)
                    .append("</h2>");
            if (result.noVerdictReason != null) {
                page.append("<p class=short>no verdict: ")
                        .append(escapeHtml(result.noVerdictReason))
                        .append("</p>");
            }
            page.append("<table><tr><th>figure<th>is<th>expected<th>");
            for (Plan.Expectation expectation : plan.expectations) {
                page.append(
                        expectationRow(
                                expectation,
                                result.figure(expectation.figure()),
                                result.holds(expectation)));
            }
            page.append("</table>");
            result.notes.forEach(
                    note -> page.append("<p class=short>").append(escapeHtml(note)).append("</p>"));
        }
        page.append("<h2>Faults</h2><ul>");
        for (Plan.Fault fault : plan.faults) {
            page.append("<li>")
                    .append(Tables.formatNumber(fault.at))
                    .append(" s: ")
                    .append(escapeHtml(fault.kind))
                    .append(" for ")
                    .append(Tables.formatNumber(fault.duration))
                    .append(" s");
        }
        page.append("</ul>")
                .append(plotsHtml(new String(toJson(plan, results), StandardCharsets.UTF_8)));
        Files.writeString(file, page.toString());
    }

    /** The page up to its first run. */
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

    /** The table row of an expectation. */
    public static String expectationRow(Plan.Expectation expectation, double value, boolean holds) {
        return "<tr"
                + (holds ? "" : " class=short")
                + "><td>"
                + escapeHtml(expectation.figure())
                + "<td>"
                + Tables.formatNumber(value)
                + "<td>"
                + escapeHtml(expectation.operator())
                + ' '
                + Tables.formatNumber(expectation.bound())
                + "<td>"
                + (holds ? "holds" : "short");
    }

    /** The plots by second, drawn from the JSON of a report. */
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
