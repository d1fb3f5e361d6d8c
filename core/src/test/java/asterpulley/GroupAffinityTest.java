package asterpulley;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against a heap that is filled by the groups that clients name. */
class GroupAffinityTest {
    private record OpenTunnel(String group, int server) {}

    private static String[] names(int serverCount) {
        return IntStream.range(0, serverCount).mapToObj(i -> "s-" + i).toArray(String[]::new);
    }

    /** What is kept of a group without tunnels does not grow with the number of groups. */
    @Property(tries = 12)
    void remembersFewGroupsWithoutTunnels(
            @ForAll @IntRange(min = 1, max = 4000) int serverCount,
            @ForAll @IntRange(min = 1, max = 4000) int nameLength) {
        GroupAffinity affinity = new GroupAffinity();
        String[] servers = names(serverCount);
        long bytesPerGroup = 4L * serverCount + 2L * nameLength;
        int groups = 3000;
        for (int i = 0; i < groups; i++) {
            String group = "g".repeat(nameLength) + i;
            int server = affinity.serverOrder(group, servers, serverCount)[0];
            affinity.addedUnits(group, server);
            affinity.tunnelOpened(group, server);
            affinity.tunnelEnded(group, server);
        }
        assertTrue(
                affinity.rememberedGroups() * bytesPerGroup <= (1 << 20) + bytesPerGroup,
                affinity.rememberedGroups() + " groups of " + bytesPerGroup + " bytes");
    }

    /** An order that was forgotten and computed anew is the one that the siblings use. */
    @Test
    void ordersStayTheSameWhenForgotten() {
        GroupAffinity affinity = new GroupAffinity();
        String[] servers = names(3200);
        Map<String, int[]> firstOrders = new HashMap<>();
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < 500; i++) {
                String group = "g-" + i;
                int[] order = affinity.serverOrder(group, servers, servers.length);
                assertArrayEquals(firstOrders.computeIfAbsent(group, name -> order), order);
            }
        }
    }

    /** A group counts at a server exactly as long as it has a tunnel there. */
    @Property(tries = 200)
    void countsGroupsByTheirOpenTunnels(
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 999) Integer> steps) {
        GroupAffinity affinity = new GroupAffinity();
        List<OpenTunnel> open = new ArrayList<>();
        for (int step : steps) {
            if (step % 2 == 0 || open.isEmpty()) {
                OpenTunnel tunnel = new OpenTunnel("g-" + step % 5, step % 7);
                open.add(tunnel);
                affinity.tunnelOpened(tunnel.group, tunnel.server);
            } else {
                OpenTunnel tunnel = open.remove(step % open.size());
                affinity.tunnelEnded(tunnel.group, tunnel.server);
            }
            for (int group = 0; group < 5; group++) {
                for (int server = 0; server < 7; server++) {
                    boolean holds = open.contains(new OpenTunnel("g-" + group, server));
                    assertEquals(
                            holds ? 0 : GroupAffinity.GROUP_COST_UNITS,
                            affinity.addedUnits("g-" + group, server));
                }
            }
        }
        assertEquals(
                open.stream().map(OpenTunnel::group).distinct().count(),
                affinity.rememberedGroups());
    }
}
