package io.magnoliaroute.core.gateway.history;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Forms the keys of records. The key of a turn includes its workspace, so that a workspace can
 * neither read nor replace the turns of another one.
 */
public final class HistoryKeys {

  /** The store accepts keys of up to 255 bytes. */
  private static final int MAX_KEY_BYTES = 255;

  private static final String PART_PREFIX = "p:";

  private HistoryKeys() {}

  /** Returns the key of a turn. */
  public static String ofTurn(Optional<String> workspace, String turnId) {
    String key =
        workspace.map(name -> "w" + name.length() + ":" + name + turnId).orElse("t:" + turnId);
    byte[] encoded = key.getBytes(StandardCharsets.UTF_8);
    return encoded.length <= MAX_KEY_BYTES ? key : "h:" + sha256(Bytes.copyOf(encoded));
  }

  /** Returns the key of a shared part. */
  public static String ofPart(Bytes content) {
    return PART_PREFIX + sha256(content);
  }

  static boolean isPart(String key) {
    return key.startsWith(PART_PREFIX);
  }

  /** Returns the partition that holds the key's record. */
  public static int partitionOf(String key, int partitions) {
    return (int) ((Hashing.fnv1a64(key) >>> 1) % Math.max(1, partitions));
  }

  private static String sha256(Bytes content) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(content.toArray()));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
