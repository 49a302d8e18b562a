package org.turmericspan.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;

/** Where a command writes: results to one stream, complaints to the other. */
final class Output {
    private final ObjectMapper mapper = new ObjectMapper();
    private final PrintStream results;
    private final PrintStream complaints;

    Output(PrintStream results, PrintStream complaints) {
        this.results = results;
        this.complaints = complaints;
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
            throw new IllegalStateException("Every result can be written as JSON", e);
        }
    }

    void complain(String text) {
        complaints.println(text);
    }
}
