package org.turmericspan.transport;

import io.netty.util.internal.logging.AbstractInternalLogger;
import java.util.Arrays;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;

/** Writes the warnings and errors of one Netty logger to the event log and drops all lower levels. */
final class NettyLogger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;
    private static final String PART = "netty";

    private final transient EventLog log;

    NettyLogger(String name, EventLog log) {
        super(name);
        this.log = log;
    }

    private void write(Event event, String text, Object... arguments) {
        log.write(event.with("logger", name()).with("text", text).with("arguments", Arrays.toString(arguments)));
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public void trace(String text) {}

    @Override
    public void trace(String text, Object argument) {}

    @Override
    public void trace(String text, Object first, Object second) {}

    @Override
    public void trace(String text, Object... arguments) {}

    @Override
    public void trace(String text, Throwable cause) {}

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public void debug(String text) {}

    @Override
    public void debug(String text, Object argument) {}

    @Override
    public void debug(String text, Object first, Object second) {}

    @Override
    public void debug(String text, Object... arguments) {}

    @Override
    public void debug(String text, Throwable cause) {}

    @Override
    public boolean isInfoEnabled() {
        return false;
    }

    @Override
    public void info(String text) {}

    @Override
    public void info(String text, Object argument) {}

    @Override
    public void info(String text, Object first, Object second) {}

    @Override
    public void info(String text, Object... arguments) {}

    @Override
    public void info(String text, Throwable cause) {}

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public void warn(String text) {
        write(Event.notice(PART, "Warning."), text);
    }

    @Override
    public void warn(String text, Object argument) {
        write(Event.notice(PART, "Warning."), text, argument);
    }

    @Override
    public void warn(String text, Object first, Object second) {
        write(Event.notice(PART, "Warning."), text, first, second);
    }

    @Override
    public void warn(String text, Object... arguments) {
        write(Event.notice(PART, "Warning."), text, arguments);
    }

    @Override
    public void warn(String text, Throwable cause) {
        write(Event.notice(PART, "Warning."), text, cause);
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    public void error(String text) {
        write(Event.failure(PART, "Error."), text);
    }

    @Override
    public void error(String text, Object argument) {
        write(Event.failure(PART, "Error."), text, argument);
    }

    @Override
    public void error(String text, Object first, Object second) {
        write(Event.failure(PART, "Error."), text, first, second);
    }

    @Override
    public void error(String text, Object... arguments) {
        write(Event.failure(PART, "Error."), text, arguments);
    }

    @Override
    public void error(String text, Throwable cause) {
        write(Event.failure(PART, "Error."), text, cause);
    }
}
