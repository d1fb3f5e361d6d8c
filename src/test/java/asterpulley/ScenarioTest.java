package asterpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ScenarioTest {
    @Test
    void onlyProvenOutcomesAreProven() {
        assertEquals(true, Outcome.FULL.provesNotRun);
        assertEquals(false, Outcome.TIMED_OUT.provesNotRun);
    }
}
