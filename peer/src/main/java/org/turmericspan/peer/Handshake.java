package org.turmericspan.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.random.RandomGenerator;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.turmericspan.calls.Payload;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;
import org.turmericspan.wire.PeerFrame;

/**
 * Mutual authentication by the deployment key. Each end sends a fresh nonce, and each signs both nonces, both names and
 * both incarnations with HMAC-SHA256. The two ends sign different labels, so that neither a replayed nor a reflected
 * frame is accepted.
 */
final class Handshake {
    static final int NONCE_BYTES = 32;

    private static final String ALGORITHM = "HmacSHA256";
    private static final String ACCEPTING_LABEL = "turmericspan-accepting";
    private static final String CONNECTING_LABEL = "turmericspan-connecting";

    private final VmId vm;
    private final Incarnation incarnation;
    private final SecretKeySpec key;
    private final RandomGenerator random;

    Handshake(PeerSettings settings, RandomGenerator random) {
        this.vm = settings.vm();
        this.incarnation = settings.incarnation();
        this.key = new SecretKeySpec(settings.deploymentKey().getBytes(StandardCharsets.UTF_8), ALGORITHM);
        this.random = random;
    }

    PeerFrame.Hello hello() {
        return new PeerFrame.Hello(vm, incarnation, nonce());
    }

    /** Creates the reply to a hello; its MAC authenticates this node to the connecting one. */
    PeerFrame.Welcome welcome(PeerFrame.Hello hello) {
        PeerFrame.Welcome unsigned = new PeerFrame.Welcome(vm, incarnation, nonce(), Payload.EMPTY);
        Payload mac = sign(ACCEPTING_LABEL, hello, unsigned);
        return new PeerFrame.Welcome(vm, incarnation, unsigned.nonce(), mac);
    }

    PeerFrame.Proof proof(PeerFrame.Hello hello, PeerFrame.Welcome welcome) {
        return new PeerFrame.Proof(sign(CONNECTING_LABEL, hello, welcome));
    }

    boolean accepts(PeerFrame.Hello hello, PeerFrame.Welcome welcome) {
        return welcome.nonce().length() == NONCE_BYTES && isEqual(sign(ACCEPTING_LABEL, hello, welcome), welcome.mac());
    }

    boolean accepts(PeerFrame.Hello hello, PeerFrame.Welcome welcome, PeerFrame.Proof proof) {
        return hello.nonce().length() == NONCE_BYTES && isEqual(sign(CONNECTING_LABEL, hello, welcome), proof.mac());
    }

    private Payload nonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        random.nextBytes(bytes);
        return Payload.wrap(bytes);
    }

    private Payload sign(String label, PeerFrame.Hello hello, PeerFrame.Welcome welcome) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            add(mac, label.getBytes(StandardCharsets.UTF_8));
            add(mac, hello.vm().value().getBytes(StandardCharsets.UTF_8));
            add(mac, toBytes(hello.incarnation().value()));
            add(mac, hello.nonce().bytes());
            add(mac, welcome.vm().value().getBytes(StandardCharsets.UTF_8));
            add(mac, toBytes(welcome.incarnation().value()));
            add(mac, welcome.nonce().bytes());
            return Payload.wrap(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("Every Java runtime must provide " + ALGORITHM, e);
        }
    }

    /** Adds a part preceded by its length, so that different lists of parts never yield the same bytes. */
    private static void add(Mac mac, byte[] part) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
        mac.update(part);
    }

    private static byte[] toBytes(long value) {
        return ByteBuffer.allocate(Long.BYTES).putLong(value).array();
    }

    private static boolean isEqual(Payload first, Payload second) {
        return MessageDigest.isEqual(first.bytes(), second.bytes());
    }
}
