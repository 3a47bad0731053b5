package io.magnoliaroute.wire;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;
import java.security.SecureRandom;
import org.junit.jupiter.api.Test;

/** Tests that only sides with the same secret complete the handshake. */
final class HandshakeTest {

  private static final Bytes SECRET = Handshake.decodeSecret("a shared secret of some length");
  private static final Bytes OTHER_SECRET =
      Handshake.decodeSecret("some other secret of that length");

  private final SecureRandom random = new SecureRandom();
  private final Handshake connecting = new Handshake(new VmId("a"), SECRET, random);
  private final Handshake accepting = new Handshake(new VmId("b"), SECRET, random);

  /** Guards against sides with the same secret that reject each other. */
  @Test
  void bothSidesAcceptTheSameSecret() throws WireException {
    PeerMessage.Hello hello = connecting.hello();
    PeerMessage.Proof proof = connecting.prove(accepting.challenge(hello));
    assertDoesNotThrow(() -> accepting.verify(hello, proof));
  }

  /** Guards against a connecting side that reveals its proof to a side without the secret. */
  @Test
  void connectingSideRejectsAcceptingSideWithAnotherSecret() throws WireException {
    Handshake impostor = new Handshake(new VmId("b"), OTHER_SECRET, random);
    PeerMessage.Challenge challenge = impostor.challenge(connecting.hello());
    WireException rejection = assertThrows(WireException.class, () -> connecting.prove(challenge));
    assertEquals(WireException.Kind.AUTHENTICATION, rejection.kind());
  }

  /** Guards against a reflection attack: a proof that is sent back to the side that made it. */
  @Test
  void reflectedProofIsRejected() throws WireException {
    PeerMessage.Hello hello = connecting.hello();
    PeerMessage.Challenge challenge = accepting.challenge(hello);
    assertThrows(
        WireException.class,
        () -> accepting.verify(hello, new PeerMessage.Proof(challenge.proof())));
  }

  /** Guards against a replay attack: a recorded proof that is sent on a later connection. */
  @Test
  void replayedProofIsRejected() throws WireException {
    PeerMessage.Hello hello = connecting.hello();
    PeerMessage.Proof recordedProof = connecting.prove(accepting.challenge(hello));
    Handshake laterHandshake = new Handshake(new VmId("b"), SECRET, random);
    laterHandshake.challenge(hello);
    assertThrows(WireException.class, () -> laterHandshake.verify(hello, recordedProof));
  }
}
