package org.turmericspan.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;

/** Output of a command: results go to one stream, errors and other diagnostics to another. */
final class Output {
    private final ObjectMapper mapper = new ObjectMapper();
    private final PrintStream results;
    private final PrintStream diagnostics;

    Output(PrintStream results, PrintStream diagnostics) {
        this.results = results;
        this.diagnostics = diagnostics;
    }

    void line(String text) {
        results.println(text);
    }

    void raw(String text) {
        results.print(text);
    }

    void json(Object value) {
        try {
            results.println(mapper.writerWithDefaultPrettyPrinter().writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The result cannot be written as JSON", e);
        }
    }

    void diagnostic(String text) {
        diagnostics.println(text);
    }
}
