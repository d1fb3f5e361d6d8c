/** Settings like those of a small deployment: two rooms, four profiles that may be repeated. */
final class Settings {
    private Settings() {}

    static String json(int siblings) {
        return "{\"callers\":{\"marksRetry\":false},\"creditBasis\":\"request\",\"excessCredit\":0.2,"
                + "\"familyInfo\":{\"groups\":true,\"messageAimMs\":[100.0,50.0,150.0,100.0],\"mode\":\"proxy\","
                + "\"parkMs\":0.0,\"tellsDelay\":true,\"tellsLoad\":true},"
                + "\"fees\":{\"connection\":0.0,\"crossZone\":0.02,\"handshake\":0.0,\"lateFail\":0.037,"
                + "\"moves\":0.03,\"probe\":0.0053,\"registryMode\":0.0,\"waste\":0.04},"
                + "\"limits\":{\"cancel\":true,\"connIdleMs\":30000.0,\"dialTimeoutMs\":250.0,"
                + "\"maxOpen\":1500000,\"maxRetryAfterMs\":1500.0,\"mostSetups\":6,\"peers\":false,"
                + "\"probes\":true,\"retryAfter\":true,\"secondCopies\":false,\"streamsPerConn\":1048576},"
                + "\"models\":[\"fast\",\"usual\"],\"myZone\":0,"
                + "\"profiles\":["
                + profile("live", 300, 1200, 2)
                + ","
                + profile("replay", 800, 3200, 1)
                + ","
                + profile("sync", 800, 3200, 2)
                + ","
                + profile("storm", 500, 2000, 3)
                + "],\"rank\":0,\"registryMode\":\"subscribe\","
                + "\"report\":{\"fields\":[\"busy\",\"rif\",\"x0\"],\"how\":\"pull\"},"
                + "\"rules\":{\"answerSlackMs\":16.0,\"askEveryMs\":10000.0,\"coldFrom\":0.12,\"coldMs\":19000.0,"
                + "\"drainGraceMs\":500.0,\"fallMs\":1000.0,\"fallMultiple\":4.0},"
                + "\"scoreParts\":{\"whole\":0.3,\"worstClass\":0.2,\"worstTenant\":0.4,\"worstWindow\":0.1},"
                + "\"serviceType\":\"conn\",\"siblings\":" + siblings + ",\"stage\":0,"
                + "\"tenants\":[{\"name\":\"first\",\"share\":0.5},{\"name\":\"second\",\"share\":0.5}],"
                + "\"tickMs\":4.0,\"tiers\":[\"servers\"],\"weights\":\"silent\","
                + "\"zones\":[\"room-a\",\"room-b\"]}";
    }

    /** A deployment with three rooms, to which lists are pushed, with a short grace on drains and a budget of setups. */
    static String pushed(int siblings) {
        return "{\"callers\":{\"marksRetry\":false},\"creditBasis\":\"request\",\"excessCredit\":0.05,"
                + "\"familyInfo\":{\"groups\":true,\"messageAimMs\":[150.0,250.0,150.0],\"mode\":\"proxy\","
                + "\"parkMs\":0.0,\"tellsDelay\":true,\"tellsLoad\":true},"
                + "\"fees\":{\"connection\":0.0,\"crossZone\":0.01,\"handshake\":0.0,\"lateFail\":0.061,"
                + "\"moves\":0.01,\"probe\":0.004,\"registryMode\":0.0,\"waste\":0.018},"
                + "\"limits\":{\"cancel\":true,\"connIdleMs\":30000.0,\"dialTimeoutMs\":250.0,"
                + "\"maxOpen\":1500000,\"maxRetryAfterMs\":1500.0,\"mostSetups\":3,\"peers\":false,"
                + "\"probes\":true,\"retryAfter\":true,\"secondCopies\":false,\"streamsPerConn\":1048576},"
                + "\"models\":[\"fast\",\"usual\"],\"myZone\":0,"
                + "\"profiles\":["
                + profile("status", 300, 1200, 5)
                + ","
                + profile("total", 500, 2000, 1)
                + ","
                + profile("board", 800, 3200, 1)
                + "],\"rank\":0,\"registryMode\":\"automatic\","
                + "\"report\":{\"fields\":[\"busy\",\"rif\",\"x0\"],\"how\":\"pull\"},"
                + "\"rules\":{\"answerSlackMs\":16.0,\"budgetFree\":3,\"furtherRatio\":0.05,\"lookBackMs\":2000.0,"
                + "\"coldFrom\":0.17,\"coldMs\":18000.0,\"drainGraceMs\":50.0,\"fallMs\":1500.0,\"fallMultiple\":1.5},"
                + "\"scoreParts\":{\"whole\":0.55,\"worstClass\":0.2,\"worstTenant\":0.1,\"worstWindow\":0.15},"
                + "\"serviceType\":\"conn\",\"siblings\":" + siblings + ",\"stage\":0,"
                + "\"tenants\":[{\"name\":\"first\",\"share\":0.5},{\"name\":\"second\",\"share\":0.5}],"
                + "\"tickMs\":4.0,\"tiers\":[\"servers\"],\"weights\":\"silent\","
                + "\"zones\":[\"room-a\",\"room-b\",\"room-c\"]}";
    }

    private static String profile(String name, int goalMs, int timeoutMs, int credit) {
        return "{\"clientTimeoutMs\":" + timeoutMs + ".0,\"credit\":" + credit
                + ".0,\"effect\":\"read_like\",\"group\":\"all\",\"name\":\"" + name + "\",\"setupGoalMs\":" + goalMs
                + ".0,\"streamed\":true,\"tardyCredit\":0.0,\"windowMs\":5000.0}";
    }
}
