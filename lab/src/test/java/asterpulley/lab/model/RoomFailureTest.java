package asterpulley.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.files.TomlDocument;
import asterpulley.lab.plan.Plan;
import asterpulley.lab.plan.PlanReader;
import asterpulley.lab.report.RunResult;
import asterpulley.lab.world.Figures;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The failure of a room in virtual time: spill to the other room, and failback. */
class RoomFailureTest {
    private static final String PLAN =
            """
            seed = 31
            length_s = 60
            [rooms]
            names = ["west", "east"]
            [load]
            arrivals_per_s = %s
            [[profile]]
            name = "live"
            lifetime_s = 30
            [relays]
            count = 2
            [[servers]]
            count = 6
            holds = 80
            warm_up_s = 8
            """;
    private static final String ROOM_DARK =
            "[[fault]]\nkind=\"room-dark\"\nroom=\"west\"\nat_s=20\nfor_s=8\n";
    private static final String SPILL = "[spill]\nshare = 0.3\n";
    private static final String FAILBACK = "[return]\nshare_per_s = 0.03\nstay_s = 4\n";
    private static final int SPILLED_LOAD_COLUMN = Figures.SERIES.indexOf("guests_load");

    private static RunResult run(String text) {
        TomlDocument document = TomlDocument.parse("room.toml", text);
        Plan plan = PlanReader.read(document, "room");
        assertEquals(List.of(), document.problems());
        return new RunResult(
                "model",
                VirtualTestbed.MODULE_POLICY,
                new VirtualTestbed(plan, VirtualTestbed.MODULE_POLICY).run(),
                null);
    }

    private static double spilledLoad(RunResult result, int second) {
        return result.secondRows.get(second)[SPILLED_LOAD_COLUMN];
    }

    @Test
    void spillStaysWithinItsLimitWhereTheFeeAloneDoesNot() {
        RunResult unlimited = run(PLAN.formatted(20) + ROOM_DARK);
        RunResult limited = run(PLAN.formatted(20) + SPILL + ROOM_DARK);
        assertTrue(
                unlimited.figure("spill.worst_share") > 0.33,
                "free " + unlimited.figure("spill.worst_share"));
        // Limits count tunnels but capacity counts loads: the tenth above the limit allows for the
        // random loads.
        assertTrue(
                limited.figure("spill.worst_share") < 0.33,
                "bound " + limited.figure("spill.worst_share"));
        assertEquals(List.of(), limited.notes);
    }

    @Test
    void spilledTunnelsFailBackWithoutCollapsingAServer() {
        RunResult withoutFailback = run(PLAN.formatted(16) + SPILL + ROOM_DARK);
        RunResult withFailback = run(PLAN.formatted(16) + SPILL + FAILBACK + ROOM_DARK);
        assertTrue(
                spilledLoad(withoutFailback, 50) > 40,
                "without it they stay: " + spilledLoad(withoutFailback, 50));
        assertTrue(
                spilledLoad(withFailback, 50) < 10, "guests left " + spilledLoad(withFailback, 50));
        assertEquals(0, withFailback.figure("servers.fell"));
        assertEquals(List.of(), withFailback.notes);
        assertTrue(
                withFailback.figure("credit.share")
                        > withoutFailback.figure("credit.share") - 0.02);
    }

    @Test
    void nearlyFullRoomKeepsCapacityForItsOwnClients() {
        String full = PLAN.formatted(26);
        RunResult limited = run(full + "[spill]\nshare = 0.1\n" + ROOM_DARK);
        assertEquals(List.of(), limited.notes);
        assertTrue(
                limited.figure("spill.worst_share") < 0.13,
                "spill " + limited.figure("spill.worst_share"));
        assertTrue(
                limited.figure("servers.worst_factor") < 1,
                "worst " + limited.figure("servers.worst_factor"));
        assertTrue(
                limited.figure("tries.declined") > run(full + ROOM_DARK).figure("tries.declined"),
                "declined at once");
    }

    @Test
    void flappingRoomDoesNotMoveClientsBackAndForth() {
        StringBuilder faults = new StringBuilder();
        for (int at = 10; at < 50; at += 10) {
            faults.append("[[fault]]\nkind=\"silent\"\nroom=\"west\"\nfor_s=5\nat_s=")
                    .append(at)
                    .append('\n');
        }
        RunResult result = run(PLAN.formatted(16) + SPILL + FAILBACK + faults);
        assertEquals(List.of(), result.notes);
        double clients = result.figure("clients.count");
        assertTrue(
                result.figure("moves") < 2 * clients,
                result.figure("moves") + " moves of " + clients + " clients");
    }

    @Test
    void roomCutOffFromTheOtherKeepsServingItsOwn() {
        String cut = "[[fault]]\nkind=\"room-cut\"\nroom=\"west\"\nat_s=20\nfor_s=10\n";
        RunResult result = run(PLAN.formatted(16) + SPILL + FAILBACK + cut);
        assertEquals(List.of(), result.notes);
        assertTrue(result.figure("credit.share") > 0.97, "credit " + result.figure("credit.share"));
    }
}
