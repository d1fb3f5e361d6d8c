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
 * Formats log records as one JSON object a line: at, level, logger, message, and a stack trace if
 * there is one.
 */
final class JsonLogFormatter extends Formatter {
    private static final JsonFactory JSON = new JsonFactory();

    /** Sets this format on all handlers of the root logger. */
    static void install() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(new JsonLogFormatter());
        }
    }

    @Override
    public String format(LogRecord record) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("at", record.getInstant().toString());
            json.writeStringField("level", record.getLevel().getName());
            json.writeStringField("logger", String.valueOf(record.getLoggerName()));
            json.writeStringField("message", formatMessage(record));
            if (record.getThrown() != null) {
                StringWriter trace = new StringWriter();
                record.getThrown().printStackTrace(new PrintWriter(trace));
                json.writeStringField("trace", trace.toString());
            }
            json.writeEndObject();
        } catch (IOException e) {
            // Writing to memory does not fail. If it did, the plain message is better than none.
            return record.getMessage() + "\n";
        }
        return text.append('\n').toString();
    }
}
