package asterpulley.lab.fleet;

import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.RelaySettings;
import asterpulley.lab.report.Reports;
import asterpulley.lab.report.Tables;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes what a fleet experiment gave into files: JSON for scripts, and a page that needs no
 * network.
 */
final class FleetReports {
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private FleetReports() {}

    static byte[] json(FleetPlan plan, FleetLab lab, String by) throws IOException {
        List<Object> plays = new ArrayList<>();
        for (FleetOutcome o : lab.outcomes()) {
            List<Object> expects = new ArrayList<>();
            for (Plan.Expectation e : plan.expects) {
                expects.add(
                        RelaySettings.mapOf(
                                "figure",
                                e.figure(),
                                "expected",
                                e.operator() + " " + Tables.formatNumber(e.bound()),
                                "is",
                                o.figure(e.figure()),
                                "holds",
                                o.holds(e)));
            }
            plays.add(
                    RelaySettings.mapOf(
                            "on",
                            "hollow relays",
                            "policy",
                            o.size.relays() + " relays, " + o.size.servers() + " servers",
                            "relays",
                            o.size.relays(),
                            "servers",
                            o.size.servers(),
                            "verdict",
                            o.noVerdict != null
                                    ? "none: " + o.noVerdict
                                    : o.good(plan) ? "holds" : "short",
                            "expect",
                            expects,
                            "figures",
                            o.figures,
                            "by_second",
                            o.seconds));
        }
        Map<String, Object> slopes = new LinkedHashMap<>();
        lab.fits()
                .forEach(
                        (name, fit) ->
                                slopes.put(
                                        name,
                                        RelaySettings.mapOf(
                                                "slope",
                                                fit.slope(),
                                                "error",
                                                fit.error(),
                                                "at_0",
                                                fit.at0())));
        return JSON.writeValueAsBytes(
                RelaySettings.mapOf(
                        "experiment",
                        plan.name,
                        "title",
                        plan.title,
                        "seed",
                        plan.seed,
                        "plays",
                        plays,
                        "slopes_by",
                        by,
                        "slopes",
                        slopes));
    }

    static void html(FleetPlan plan, FleetLab lab, String by, Path to) throws IOException {
        StringBuilder page = new StringBuilder(Reports.pageHead(plan.title, plan.name, plan.seed));
        for (FleetOutcome o : lab.outcomes()) {
            page.append("<h2>")
                    .append(o.size.relays())
                    .append(" hollow relays, ")
                    .append(o.size.servers())
                    .append(" servers</h2>");
            if (o.noVerdict != null) {
                page.append("<p class=short>no verdict: ")
                        .append(Reports.escapeHtml(o.noVerdict))
                        .append("</p>");
            }
            page.append("<table><tr><th>figure<th>is<th>expected<th>");
            for (Plan.Expectation e : plan.expects) {
                page.append(Reports.expectationRow(e, o.figure(e.figure()), o.holds(e)));
            }
            o.figures.forEach(
                    (name, is) ->
                            page.append("<tr><td>")
                                    .append(name)
                                    .append("<td>")
                                    .append(FleetLab.small(is)));
            page.append("</table>");
        }
        page.append(Reports.plotsHtml(new String(json(plan, lab, by), StandardCharsets.UTF_8)));
        Files.writeString(to, page.toString());
    }
}
