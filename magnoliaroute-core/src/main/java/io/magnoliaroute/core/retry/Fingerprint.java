package io.magnoliaroute.core.retry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Identifies the content of a request, so that the same request is recognised when its caller sends
 * it again as a new program or through another VM.
 *
 * @param value SHA-256 in lower-case hexadecimal
 */
public record Fingerprint(String value) {

  private static final Pattern SHA_256_HEX = Pattern.compile("[0-9a-f]{64}");

  /** Rejects a value that is not 64 lower-case hexadecimal digits. */
  public Fingerprint {
    if (value == null || !SHA_256_HEX.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "fingerprint must be 64 lower-case hexadecimal digits, was: '" + value + "'");
    }
  }

  /** Returns the fingerprint of a model call: its model and each message, role and content. */
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

  // The length before each part keeps ("ab", "c") and ("a", "bc") apart.
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
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
