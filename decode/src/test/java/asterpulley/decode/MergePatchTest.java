package asterpulley.decode;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Tests {@link MergePatch} with the cases of the RFC. */
class MergePatchTest {
    private static Object json(String text) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            parser.nextToken();
            return Json.read(parser);
        }
    }

    /** The test cases of RFC 7396, appendix A: target, patch, result. */
    @Test
    void appliesTheTestCasesOfTheStandard() throws IOException {
        String[][] cases = {
            {"{\"a\":\"b\"}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
            {"{\"a\":\"b\"}", "{\"b\":\"c\"}", "{\"a\":\"b\",\"b\":\"c\"}"},
            {"{\"a\":\"b\"}", "{\"a\":null}", "{}"},
            {"{\"a\":\"b\",\"b\":\"c\"}", "{\"a\":null}", "{\"b\":\"c\"}"},
            {"{\"a\":[\"b\"]}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
            {"{\"a\":\"c\"}", "{\"a\":[\"b\"]}", "{\"a\":[\"b\"]}"},
            {"{\"a\":{\"b\":\"c\"}}", "{\"a\":{\"b\":\"d\",\"c\":null}}", "{\"a\":{\"b\":\"d\"}}"},
            {"{\"a\":[{\"b\":\"c\"}]}", "{\"a\":[1]}", "{\"a\":[1]}"},
            {"[\"a\",\"b\"]", "[\"c\",\"d\"]", "[\"c\",\"d\"]"},
            {"{\"a\":\"b\"}", "[\"c\"]", "[\"c\"]"},
            {"{\"a\":\"foo\"}", "null", "null"},
            {"{\"a\":\"foo\"}", "\"bar\"", "\"bar\""},
            {"{\"e\":null}", "{\"a\":1}", "{\"e\":null,\"a\":1}"},
            {"[1,2]", "{\"a\":\"b\",\"c\":null}", "{\"a\":\"b\"}"},
            {"{}", "{\"a\":{\"bb\":{\"ccc\":null}}}", "{\"a\":{\"bb\":{}}}"}
        };
        for (String[] testCase : cases) {
            Object target = json(testCase[0]);
            assertEquals(
                    json(testCase[2]),
                    MergePatch.apply(target, json(testCase[1])),
                    String.join(" ", testCase));
            assertEquals(json(testCase[0]), target, "the target is not modified");
        }
    }
}
