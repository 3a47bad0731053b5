package io.magnoliaroute.core.retry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Identifies the content of a request, so that a request is recognised when its caller resends it
 * as a new program or through another VM.
 *
 * @param value the SHA-256 digest of the content in lower-case hexadecimal
 */
public record Fingerprint(String value) {

  private static final Pattern SHA_256_HEX = Pattern.compile("[0-9a-f]{64}");

  /** Validates that the value consists of 64 lower-case hexadecimal digits. */
  public Fingerprint {
    if (value == null || !SHA_256_HEX.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "fingerprint must be 64 lower-case hexadecimal digits, was: '" + value + "'");
    }
  }

  /**
   * Returns the fingerprint of a model call.
   *
   * @param messages the messages, each with its role and content
   */
  public static Fingerprint ofModelCall(String model, List<String> messages) {
    MessageDigest digest = sha256();
    update(digest, "model");
    update(digest, model);
    for (String message : messages) {
      update(digest, message);
    }
    return of(digest);
  }

  /** Returns the fingerprint of a service call. */
  public static Fingerprint ofServiceCall(String service, String operation, String arguments) {
    MessageDigest digest = sha256();
    update(digest, "service");
    update(digest, service);
    update(digest, operation);
    update(digest, arguments);
    return of(digest);
  }

  // The length prefix distinguishes ("ab", "c") from ("a", "bc").
  private static void update(MessageDigest digest, String part) {
    byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
    digest.update(bytes);
  }

  private static Fingerprint of(MessageDigest digest) {
    return new Fingerprint(HexFormat.of().formatHex(digest.digest()));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
