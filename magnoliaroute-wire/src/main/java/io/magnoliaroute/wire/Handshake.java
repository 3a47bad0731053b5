package io.magnoliaroute.wire;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticates both sides of a connection mutually by a shared secret.
 *
 * <p>The connecting side sends {@link PeerMessage.Hello} with a nonce. The accepting side responds
 * with {@link PeerMessage.Challenge}, which has its own nonce and a proof over both nonces. The
 * connecting side completes the handshake with {@link PeerMessage.Proof}. Each proof includes the
 * role of its side, so that a proof cannot be reflected to the side that made it.
 */
public final class Handshake {

  private static final String ALGORITHM = "HmacSHA256";
  private static final String ACCEPTING_ROLE = "accepting";
  private static final String CONNECTING_ROLE = "connecting";
  private static final int NONCE_BYTES = 32;
  private static final int MIN_SECRET_BYTES = 16;

  private final VmId self;
  private final SecretKeySpec key;
  private final Bytes nonce;

  /**
   * Creates one side of a handshake with a fresh nonce.
   *
   * @throws IllegalArgumentException if the secret is shorter than 16 bytes
   */
  public Handshake(VmId self, Bytes secret, SecureRandom random) {
    if (secret.sizeBytes() < MIN_SECRET_BYTES) {
      throw new IllegalArgumentException(
          "peer secret must have at least "
              + MIN_SECRET_BYTES
              + " bytes, had "
              + secret.sizeBytes());
    }
    this.self = self;
    this.key = new SecretKeySpec(secret.toArray(), ALGORITHM);
    byte[] nonceBytes = new byte[NONCE_BYTES];
    random.nextBytes(nonceBytes);
    this.nonce = Bytes.copyOf(nonceBytes);
  }

  /** Returns the first message of the connecting side. */
  public PeerMessage.Hello hello() {
    return new PeerMessage.Hello(self, nonce);
  }

  /**
   * Returns the accepting side's response.
   *
   * @throws WireException if the nonce does not have the required length
   */
  public PeerMessage.Challenge challenge(PeerMessage.Hello hello) throws WireException {
    requireNonceLength(hello.nonce());
    return new PeerMessage.Challenge(
        self, nonce, computeProof(ACCEPTING_ROLE, hello.vm(), self, hello.nonce(), nonce));
  }

  /**
   * Verifies the accepting side's proof and returns the connecting side's.
   *
   * @throws WireException if the nonce does not have the required length or the proof is wrong
   */
  public PeerMessage.Proof prove(PeerMessage.Challenge challenge) throws WireException {
    requireNonceLength(challenge.nonce());
    requireMatchingProof(
        computeProof(ACCEPTING_ROLE, self, challenge.vm(), nonce, challenge.nonce()),
        challenge.proof());
    return new PeerMessage.Proof(
        computeProof(CONNECTING_ROLE, self, challenge.vm(), nonce, challenge.nonce()));
  }

  /**
   * Verifies the connecting side's proof.
   *
   * @throws WireException if the proof is wrong
   */
  public void verify(PeerMessage.Hello hello, PeerMessage.Proof proof) throws WireException {
    requireMatchingProof(
        computeProof(CONNECTING_ROLE, hello.vm(), self, hello.nonce(), nonce), proof.proof());
  }

  private Bytes computeProof(
      String role, VmId connecting, VmId accepting, Bytes connectingNonce, Bytes acceptingNonce) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      updateWithLengthPrefix(mac, Bytes.ofUtf8(role));
      updateWithLengthPrefix(mac, Bytes.ofUtf8(connecting.value()));
      updateWithLengthPrefix(mac, Bytes.ofUtf8(accepting.value()));
      updateWithLengthPrefix(mac, connectingNonce);
      updateWithLengthPrefix(mac, acceptingNonce);
      return Bytes.copyOf(mac.doFinal());
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java platform does not provide " + ALGORITHM, e);
    }
  }

  // The length prefix makes the encoding unambiguous: ("ab", "c") and ("a", "bc") differ.
  private static void updateWithLengthPrefix(Mac mac, Bytes part) {
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, part.sizeBytes()));
    mac.update(part.toArray());
  }

  private static void requireNonceLength(Bytes received) throws WireException {
    if (received == null || received.sizeBytes() != NONCE_BYTES) {
      throw new WireException(
          WireException.Kind.AUTHENTICATION, "nonce must have " + NONCE_BYTES + " bytes");
    }
  }

  private static void requireMatchingProof(Bytes expected, Bytes received) throws WireException {
    if (received == null || !MessageDigest.isEqual(expected.toArray(), received.toArray())) {
      throw new WireException(
          WireException.Kind.AUTHENTICATION, "proof of the shared secret does not match");
    }
  }

  /** Converts the text of a secret in the settings to its UTF-8 bytes. */
  public static Bytes decodeSecret(String text) {
    return Bytes.copyOf(text.getBytes(StandardCharsets.UTF_8));
  }
}
