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

/** A room that is lost, in virtual time: what spills, and the way back. */
class RoomTest {
    private static final String WORLD =
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
    private static final String DARK =
            "[[fault]]\nkind=\"room-dark\"\nroom=\"west\"\nat_s=20\nfor_s=8\n";
    private static final String SPILL = "[spill]\nshare = 0.3\n";
    private static final String RETURN = "[return]\nshare_per_s = 0.03\nstay_s = 4\n";
    private static final int GUESTS = Figures.SERIES.indexOf("guests_load");

    private static RunResult play(String text) {
        TomlDocument sheet = TomlDocument.parse("room.toml", text);
        Plan plan = PlanReader.read(sheet, "room");
        assertEquals(List.of(), sheet.problems());
        return new RunResult(
                "model",
                VirtualTestbed.MODULE_POLICY,
                new VirtualTestbed(plan, VirtualTestbed.MODULE_POLICY).run(),
                null);
    }

    private static double guests(RunResult o, int second) {
        return o.secondRows.get(second)[GUESTS];
    }

    @Test
    void theSpillKeepsWithinItsLimitWhereTheFeeAloneDoesNot() {
        RunResult free = play(WORLD.formatted(20) + DARK);
        RunResult bound = play(WORLD.formatted(20) + SPILL + DARK);
        assertTrue(
                free.figure("spill.worst_share") > 0.33,
                "free " + free.figure("spill.worst_share"));
        // Limits count tunnels and rooms hold loads: a tenth of the limit is the draw of the loads.
        assertTrue(
                bound.figure("spill.worst_share") < 0.33,
                "bound " + bound.figure("spill.worst_share"));
        assertEquals(List.of(), bound.notes);
    }

    @Test
    void guestsGoHomeOnceTheirRoomIsBackAndNoServerIsPushedOver() {
        RunResult stay = play(WORLD.formatted(16) + SPILL + DARK);
        RunResult home = play(WORLD.formatted(16) + SPILL + RETURN + DARK);
        assertTrue(guests(stay, 50) > 40, "without it they stay: " + guests(stay, 50));
        assertTrue(guests(home, 50) < 10, "guests left " + guests(home, 50));
        assertEquals(0, home.figure("servers.fell"));
        assertEquals(List.of(), home.notes);
        assertTrue(home.figure("credit.share") > stay.figure("credit.share") - 0.02);
    }

    @Test
    void aSurvivingRoomThatIsNearlyFullKeepsItsOwn() {
        String full = WORLD.formatted(26);
        RunResult bound = play(full + "[spill]\nshare = 0.1\n" + DARK);
        assertEquals(List.of(), bound.notes);
        assertTrue(
                bound.figure("spill.worst_share") < 0.13,
                "spill " + bound.figure("spill.worst_share"));
        assertTrue(
                bound.figure("servers.worst_factor") < 1,
                "worst " + bound.figure("servers.worst_factor"));
        assertTrue(
                bound.figure("tries.declined") > play(full + DARK).figure("tries.declined"),
                "declined at once");
    }

    @Test
    void aRoomThatComesAndGoesDoesNotSendItsClientsToAndFro() {
        StringBuilder faults = new StringBuilder();
        for (int at = 10; at < 50; at += 10) {
            faults.append("[[fault]]\nkind=\"silent\"\nroom=\"west\"\nfor_s=5\nat_s=")
                    .append(at)
                    .append('\n');
        }
        RunResult o = play(WORLD.formatted(16) + SPILL + RETURN + faults);
        assertEquals(List.of(), o.notes);
        double clients = o.figure("clients.count");
        assertTrue(
                o.figure("moves") < 2 * clients,
                o.figure("moves") + " moves of " + clients + " clients");
    }

    @Test
    void aRoomCutOffFromTheOtherKeepsServingItsOwn() {
        String cut = "[[fault]]\nkind=\"room-cut\"\nroom=\"west\"\nat_s=20\nfor_s=10\n";
        RunResult o = play(WORLD.formatted(16) + SPILL + RETURN + cut);
        assertEquals(List.of(), o.notes);
        assertTrue(o.figure("credit.share") > 0.97, "credit " + o.figure("credit.share"));
    }
}
