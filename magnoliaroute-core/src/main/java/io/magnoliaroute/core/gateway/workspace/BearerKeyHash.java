package io.magnoliaroute.core.gateway.workspace;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Optional;

/**
 * The SHA-256 of a bearer key. Keys themselves are not kept, so that no log, dump or message
 * between VMs can contain one.
 *
 * @param hex the hash in lower-case hexadecimal
 */
public record BearerKeyHash(String hex) {

  private static final String SCHEME = "Bearer ";
  private static final int HEX_CHARS = 64;

  /** Rejects a value that is not a SHA-256 hash. */
  public BearerKeyHash {
    hex = hex.toLowerCase(Locale.ROOT);
    if (hex.length() != HEX_CHARS || !hex.chars().allMatch(HexFormat::isHexDigit)) {
      // The value may be a key, so it is not quoted.
      throw new IllegalArgumentException("a key hash must have " + HEX_CHARS + " hex digits");
    }
  }

  /** Returns the hash of a key. */
  public static BearerKeyHash ofKey(String key) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return new BearerKeyHash(HexFormat.of().formatHex(hash));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Returns the hash of the key in an {@code Authorization} header.
   *
   * @param header the value of the header; null if the request has none
   */
  public static Optional<BearerKeyHash> ofAuthorization(String header) {
    if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Optional.empty();
    }
    return Optional.of(ofKey(header.substring(SCHEME.length()).strip()));
  }
}
