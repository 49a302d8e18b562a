package org.turmericspan.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.turmericspan.balancing.Registration;
import org.turmericspan.ids.UpstreamId;

/** Keeps the questions, so that a test decides what each upstream says and when. */
final class FakeLookup implements LoadProber {
    private final List<Question> questions = new ArrayList<>();
    private boolean isHeld;

    @Override
    public void probe(Registration upstream, Runnable ended) {
        if (isHeld) {
            questions.add(new Question(upstream.id(), ended));
        } else {
            ended.run();
        }
    }

    /** Leaves questions open from now on. */
    void hold() {
        isHeld = true;
    }

    List<UpstreamId> asked() {
        return questions.stream().map(Question::upstream).toList();
    }

    void end(UpstreamId upstream) {
        Question question = questions.stream()
                .filter(each -> each.upstream().equals(upstream))
                .findFirst()
                .orElseThrow();
        questions.remove(question);
        question.ended().run();
    }

    private record Question(UpstreamId upstream, Runnable ended) {}
}
