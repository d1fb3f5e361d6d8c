package asterpulley.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Log lines as one JSON object a line: at, level, logger, message, and a trace where there is one.
 */
final class JsonLog extends Formatter {
    private static final JsonFactory JSON = new JsonFactory();

    /** All that is logged from now on takes this form. */
    static void install() {
        for (Handler h : Logger.getLogger("").getHandlers()) {
            h.setFormatter(new JsonLog());
        }
    }

    @Override
    public String format(LogRecord record) {
        StringWriter to = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(to)) {
            out.writeStartObject();
            out.writeStringField("at", record.getInstant().toString());
            out.writeStringField("level", record.getLevel().getName());
            out.writeStringField("logger", String.valueOf(record.getLoggerName()));
            out.writeStringField("message", formatMessage(record));
            if (record.getThrown() != null) {
                StringWriter trace = new StringWriter();
                record.getThrown().printStackTrace(new PrintWriter(trace));
                out.writeStringField("trace", trace.toString());
            }
            out.writeEndObject();
        } catch (IOException e) {
            // Writing to memory does not fail; if it did, the plain message is better than none.
            return record.getMessage() + "\n";
        }
        return to.append('\n').toString();
    }
}
