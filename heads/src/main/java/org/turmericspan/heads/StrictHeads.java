package org.turmericspan.heads;

import java.io.IOException;
import java.net.ProtocolException;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.turmericspan.integrity.HeadSyntax;

/**
 * Network interceptor that fails a call whose response has a malformed head. OkHttp itself accepts any number as a
 * status, and any text before the colon as the name of a field. The failure closes the connection; the call is not sent
 * again.
 */
public final class StrictHeads implements Interceptor {
    /** Creates the interceptor. */
    public StrictHeads() {}

    @Override
    public Response intercept(Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        if (!HeadSyntax.isFinalStatus(response.code()) || !areFieldsWellFormed(response.headers())) {
            response.close();
            throw new ProtocolException("Malformed response head");
        }
        return response;
    }

    /**
     * Returns whether the names of all fields of a head or of trailers are well-formed.
     *
     * @param fields the fields
     * @return false if the name of one of them holds anything that no name has
     */
    public static boolean areFieldsWellFormed(Headers fields) {
        for (int i = 0; i < fields.size(); i++) {
            if (!HeadSyntax.isFieldName(fields.name(i))) {
                return false;
            }
        }
        return true;
    }
}
