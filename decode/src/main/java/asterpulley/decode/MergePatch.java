package asterpulley.decode;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * JSON merge patch (RFC 7396): a patch turns one JSON value into another, null removes a field and
 * a list is replaced as a whole. The inputs are never modified; the result shares unchanged parts
 * with them.
 */
public final class MergePatch {
    private MergePatch() {}

    /** Returns the target with the patch applied. */
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
