package org.turmericspan.front;

import jakarta.servlet.http.HttpServletRequest;
import java.util.ArrayList;
import java.util.Enumeration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.turmericspan.calls.Header;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.errors.ResultCode;

/** Header fields of one request, validated in one pass and split into control fields and forwarded fields. */
final class HeaderFields {
    private static final int MAX_FIELDS = 64;
    private static final char ASCII_DELETE = '\u007f';

    private final Map<String, String> controlFields = new HashMap<>();
    private final List<Header> forwarded = new ArrayList<>();
    private String connectionOptions = "";
    private int fieldCount;

    private HeaderFields() {}

    static HeaderFields of(HttpServletRequest request) {
        HeaderFields fields = new HeaderFields();
        Enumeration<String> names = request.getHeaderNames();
        while (names.hasMoreElements()) {
            String name = names.nextElement();
            fields.addAll(name, request.getHeaders(name));
        }
        fields.dropConnectionOptions();
        return fields;
    }

    /** Returns the value of a control field, or null if the caller did not send it. */
    String control(String lowerName) {
        return controlFields.get(lowerName);
    }

    String requiredControl(String lowerName) {
        String value = controlFields.get(lowerName);
        if (value == null) {
            throw malformed("Header " + lowerName + " is missing");
        }
        return value;
    }

    List<Header> forwarded() {
        return forwarded;
    }

    private void addAll(String name, Enumeration<String> values) {
        String lowerName = name.toLowerCase(Locale.ROOT);
        while (values.hasMoreElements()) {
            String value = values.nextElement();
            fieldCount++;
            if (fieldCount > MAX_FIELDS) {
                throw new BalancerException(ResultCode.TOO_LARGE, "More than " + MAX_FIELDS + " header fields");
            }
            add(name, lowerName, value);
        }
    }

    private void add(String name, String lowerName, String value) {
        if (!isPlainText(value)) {
            throw malformed("A header field holds characters other than visible ASCII, space and tab");
        }
        if (lowerName.startsWith(CallerHeaders.CONTROL_PREFIX) && controlFields.putIfAbsent(lowerName, value) != null) {
            throw malformed("A control header field is sent twice");
        }
        if (lowerName.equals(CallerHeaders.CONNECTION_LOWER)) {
            connectionOptions = connectionOptions + "," + value;
        }
        if (CallerHeaders.isForwarded(lowerName)) {
            forwarded.add(new Header(name, value));
        }
    }

    /** Removes the fields that {@code Connection} names, except control fields, because they identify the caller. */
    private void dropConnectionOptions() {
        if (connectionOptions.isEmpty()) {
            return;
        }
        for (String option : connectionOptions.split(",")) {
            String lowerOption = option.strip().toLowerCase(Locale.ROOT);
            if (!lowerOption.startsWith(CallerHeaders.CONTROL_PREFIX)) {
                forwarded.removeIf(header -> header.name().equalsIgnoreCase(lowerOption));
            }
        }
    }

    private static boolean isPlainText(String value) {
        for (int i = 0; i < value.length(); i++) {
            char character = value.charAt(i);
            if (character < ' ' && character != '\t' || character >= ASCII_DELETE) {
                return false;
            }
        }
        return true;
    }

    private static BalancerException malformed(String detail) {
        return new BalancerException(ResultCode.MALFORMED_REQUEST, detail);
    }
}
