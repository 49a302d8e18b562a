package org.turmericspan.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Converts between Netty headers and {@link HeaderList}. */
final class NettyHeaders {
    private NettyHeaders() {}

    static HeaderList read(HttpHeaders headers) {
        List<HeaderField> fields = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> header : headers) {
            fields.add(new HeaderField(header.getKey(), header.getValue()));
        }
        return new HeaderList(fields);
    }

    static void write(HeaderList source, HttpHeaders target) {
        source.fields().forEach(field -> target.add(field.name(), field.value()));
    }
}
