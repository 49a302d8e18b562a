package org.turmericspan.bench.load;

/** Compares a response with the only correct response of the stand-in upstream to that request. */
final class ResponseVerifier {
    private ResponseVerifier() {}

    static CallOutcome check(String requestId, int responseBytes, byte[] response) {
        int length = Math.max(responseBytes, requestId.length() + 1);
        if (response.length != length) {
            return startsWith(requestId, response) ? CallOutcome.SHORT : CallOutcome.CROSSED;
        }
        for (int i = 0; i < length; i++) {
            if (response[i] != expectedChar(requestId, i)) {
                return CallOutcome.CROSSED;
            }
        }
        return CallOutcome.SERVED;
    }

    private static boolean startsWith(String requestId, byte[] response) {
        for (int i = 0; i < Math.min(response.length, requestId.length()); i++) {
            if (response[i] != requestId.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private static char expectedChar(String requestId, int index) {
        int period = requestId.length() + 1;
        int offset = index % period;
        if (offset < requestId.length()) {
            return requestId.charAt(offset);
        }
        return index == requestId.length() ? '\n' : ' ';
    }
}
