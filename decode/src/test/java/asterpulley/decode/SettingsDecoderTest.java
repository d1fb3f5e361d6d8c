package asterpulley.decode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import asterpulley.Settings;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests new, missing and invalid settings. */
class SettingsDecoderTest {
    private static Settings decodeWithScoreParts(Object scoreParts) {
        return SettingsDecoder.decode(
                Map.of("profiles", List.of(Map.of("name", "live")), "scoreParts", scoreParts));
    }

    @Test
    void scorePartsAreReadAndDefaultWhenAbsent() {
        Settings settings =
                decodeWithScoreParts(Map.of("whole", 0.1, "logLossPart", 0.3, "topNines", 2));
        assertEquals(0.3, settings.ninesWeight);
        assertEquals(2, settings.ninesForFullScore);
        Settings withoutNewParts = decodeWithScoreParts(Map.of("whole", 0.3, "worstTenant", 0.4));
        assertEquals(0, withoutNewParts.ninesWeight);
        assertEquals(3, withoutNewParts.ninesForFullScore);
        assertEquals("live", withoutNewParts.profiles.get(0).name);
        assertEquals(0, SettingsDecoder.decode(Map.of("profiles", List.of())).ninesWeight);
    }

    @Test
    void invalidScorePartsAreReportedWithTheirKey() {
        for (Map<String, Object> wrong :
                List.<Map<String, Object>>of(
                        Map.of("logLossPart", "much"),
                        Map.of("topNines", List.of()),
                        Map.of("logLossPart", 1.5),
                        Map.of("topNines", 0),
                        Map.of("logLossPart", -0.1))) {
            String message =
                    assertThrows(Json.MalformedException.class, () -> decodeWithScoreParts(wrong))
                            .getMessage();
            assertTrue(
                    message.contains("scoreParts")
                            && message.contains(wrong.keySet().iterator().next()),
                    message);
        }
        assertTrue(
                assertThrows(Json.MalformedException.class, () -> decodeWithScoreParts("many"))
                        .getMessage()
                        .contains("scoreParts"));
    }

    private static Settings decodeWithRules(Object rules) {
        return SettingsDecoder.decode(Map.of("profiles", List.of(), "rules", rules));
    }

    @Test
    void retryBudgetIsReadAndUnlimitedWhenAbsent() {
        Settings settings =
                decodeWithRules(
                        Map.of("budgetFree", 2.0, "furtherRatio", 0.05, "lookBackMs", 5000));
        assertEquals(2, settings.retryBudgetMinimum);
        assertEquals(0.05, settings.retryBudgetRatio);
        assertEquals(5, settings.retryBudgetWindow);
        assertEquals(0, decodeWithRules(Map.of("fallMultiple", 2)).retryBudgetWindow);
        for (Map<String, Object> wrong :
                List.<Map<String, Object>>of(
                        Map.of("budgetFree", "few"),
                        Map.of("lookBackMs", true),
                        Map.of("furtherRatio", -0.1),
                        Map.of("lookBackMs", List.of()))) {
            String message =
                    assertThrows(Json.MalformedException.class, () -> decodeWithRules(wrong))
                            .getMessage();
            assertTrue(
                    message.contains("rules") && message.contains(wrong.keySet().iterator().next()),
                    message);
        }
    }
}
