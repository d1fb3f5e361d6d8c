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
 * Writes the results of a fleet experiment as JSON for scripts and as an HTML page that needs no
 * network.
 */
final class FleetReports {
    private static final ObjectMapper JSON_MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private FleetReports() {}

    static byte[] toJson(FleetPlan plan, FleetLab lab, String by) throws IOException {
        List<Object> results = new ArrayList<>();
        for (FleetResult result : lab.results()) {
            List<Object> expectations = new ArrayList<>();
            for (Plan.Expectation expectation : plan.expectations) {
                expectations.add(
                        RelaySettings.mapOf(
                                "figure",
                                expectation.figure(),
                                "expected",
                                expectation.operator()
                                        + " "
                                        + Tables.formatNumber(expectation.bound()),
                                "is",
                                result.figure(expectation.figure()),
                                "holds",
                                result.holds(expectation)));
            }
            results.add(
                    RelaySettings.mapOf(
                            "on",
                            "hollow relays",
                            "policy",
                            result.size.relays() + " relays, " + result.size.servers() + " servers",
                            "relays",
                            result.size.relays(),
                            "servers",
                            result.size.servers(),
                            "verdict",
                            result.noVerdictReason != null
                                    ? "none: " + result.noVerdictReason
                                    : result.meetsExpectations(plan) ? "holds" : "short",
                            "expect",
                            expectations,
                            "figures",
                            result.figures,
                            "by_second",
                            result.perSecond));
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
                                                fit.standardError(),
                                                "at_0",
                                                fit.intercept())));
        return JSON_MAPPER.writeValueAsBytes(
                RelaySettings.mapOf(
                        "experiment",
                        plan.name,
                        "title",
                        plan.title,
                        "seed",
                        plan.seed,
                        "plays",
                        results,
                        "slopes_by",
                        by,
                        "slopes",
                        slopes));
    }

    static void writeHtml(FleetPlan plan, FleetLab lab, String by, Path to) throws IOException {
        StringBuilder page = new StringBuilder(Reports.pageHead(plan.title, plan.name, plan.seed));
        for (FleetResult result : lab.results()) {
            page.append("<h2>")
                    .append(result.size.relays())
                    .append(" hollow relays, ")
                    .append(result.size.servers())
                    .append(" servers</h2>");
            if (result.noVerdictReason != null) {
                page.append("<p class=short>no verdict: ")
                        .append(Reports.escapeHtml(result.noVerdictReason))
                        .append("</p>");
            }
            page.append("<table><tr><th>figure<th>is<th>expected<th>");
            for (Plan.Expectation expectation : plan.expectations) {
                page.append(
                        Reports.expectationRow(
                                expectation,
                                result.figure(expectation.figure()),
                                result.holds(expectation)));
            }
            result.figures.forEach(
                    (name, is) ->
                            page.append("<tr><td>")
                                    .append(name)
                                    .append("<td>")
                                    .append(FleetLab.formatNumber(is)));
            page.append("</table>");
        }
        page.append(Reports.plotsHtml(new String(toJson(plan, lab, by), StandardCharsets.UTF_8)));
        Files.writeString(to, page.toString());
    }
}
