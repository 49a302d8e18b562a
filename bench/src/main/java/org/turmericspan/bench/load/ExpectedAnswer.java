package org.turmericspan.bench.load;

/** Knows the one right answer of the stand-in upstream to a request. */
final class ExpectedAnswer {
    private ExpectedAnswer() {}

    static CallOutcome check(String requestId, int answerBytes, byte[] answer) {
        int length = Math.max(answerBytes, requestId.length() + 1);
        if (answer.length != length) {
            return startsWith(requestId, answer) ? CallOutcome.SHORT : CallOutcome.CROSSED;
        }
        for (int i = 0; i < length; i++) {
            if (answer[i] != expected(requestId, i)) {
                return CallOutcome.CROSSED;
            }
        }
        return CallOutcome.SERVED;
    }

    private static boolean startsWith(String requestId, byte[] answer) {
        for (int i = 0; i < Math.min(answer.length, requestId.length()); i++) {
            if (answer[i] != requestId.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private static char expected(String requestId, int index) {
        int period = requestId.length() + 1;
        int place = index % period;
        if (place < requestId.length()) {
            return requestId.charAt(place);
        }
        return index == requestId.length() ? '\n' : ' ';
    }
}
