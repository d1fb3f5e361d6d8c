package asterpulley.decode;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * JSON merge patch (RFC 7396): the change from one JSON value to another, in which null takes a
 * field away and a list is replaced whole. It must never change what it is given; what did not
 * change is shared between the two.
 */
public final class MergePatch {
    private MergePatch() {}

    public static Object apply(Object target, Object patch) {
        if (!(patch instanceof Map<?, ?> changes)) {
            return patch;
        }
        Map<String, Object> result = new LinkedHashMap<>();
        if (target instanceof Map<?, ?> fields) {
            fields.forEach((name, value) -> result.put((String) name, value));
        }
        changes.forEach(
                (name, change) -> {
                    if (change == null) {
                        result.remove(name);
                    } else {
                        result.put((String) name, apply(result.get(name), change));
                    }
                });
        return result;
    }
}
