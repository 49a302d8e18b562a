package org.turmericspan.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Map;
import org.turmericspan.integrity.ResponseHeads;

/** Checks of a whole response head; {@link ResponseDecoder} checks its lines. */
final class HeadChecks {
    private HeadChecks() {}

    /** Returns whether a status line stands within a line of a head. */
    static boolean isSpliced(HttpResponse response) {
        return ResponseHeads.containStatusLine(response.status().reasonPhrase()) || isSpliced(response.headers());
    }

    /** Returns whether a status line stands within a line of headers or trailers. */
    static boolean isSpliced(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
            if (ResponseHeads.containStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether an informational response states a body, which it cannot have, or switches protocols, which no
     * request asks for. What follows it would be read as the next response.
     */
    static boolean isMalformedInformational(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                        || response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                        || HttpUtil.getContentLength(response, 0) != 0);
    }
}
