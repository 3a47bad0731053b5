package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.SettingsTree;
import io.magnoliaroute.core.settings.TeamSettings;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the team or operator of a bearer token by the token's SHA-256.
 *
 * <p>Hashes are found by their first bytes and then compared in constant time; the time shows at
 * most those bytes of the hash, which do not help to find a token.
 */
public final class Authenticator {

  private static final String BEARER = "Bearer ";
  private static final int BUCKET_HEX_CHARS = 8;

  private final List<byte[]> operators;
  private volatile Map<String, List<Known>> teams = Map.of();

  private record Known(Bytes hash, TeamId team) {}

  /** Makes an authenticator for the operators; settings bring the teams. */
  public Authenticator(List<String> operatorTokenHashes) {
    this.operators = operatorTokenHashes.stream().map(Authenticator::bytes).toList();
  }

  /** Takes the teams of new settings. */
  public void settings(SettingsTree tree) {
    Map<String, List<Known>> next = new HashMap<>();
    for (TeamSettings team : tree.teams().values()) {
      for (String hash : team.tokenHashes()) {
        next.computeIfAbsent(bucket(hash), key -> new ArrayList<>())
            .add(new Known(Bytes.copyOf(bytes(hash)), team.id()));
      }
    }
    teams = Map.copyOf(next);
  }

  /** Returns the team of the {@code Authorization} header. */
  public Optional<TeamId> team(String header) {
    byte[] hash = hashOf(header);
    if (hash == null) {
      return Optional.empty();
    }
    Optional<TeamId> found = Optional.empty();
    for (Known known : teams.getOrDefault(bucket(HexFormat.of().formatHex(hash)), List.of())) {
      if (MessageDigest.isEqual(known.hash().toArray(), hash)) {
        found = Optional.of(known.team());
      }
    }
    return found;
  }

  /** Returns whether the {@code Authorization} header is an operator's. */
  public boolean isOperator(String header) {
    byte[] hash = hashOf(header);
    if (hash == null) {
      return false;
    }
    boolean found = false;
    for (byte[] operator : operators) {
      found |= MessageDigest.isEqual(operator, hash);
    }
    return found;
  }

  /** Returns the SHA-256 of a token in lower-case hexadecimal, as settings hold it. */
  public static String hash(String token) {
    return HexFormat.of().formatHex(sha256(token));
  }

  private static byte[] hashOf(String header) {
    if (header == null || !header.startsWith(BEARER)) {
      return null;
    }
    return sha256(header.substring(BEARER.length()).strip());
  }

  private static byte[] sha256(String token) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private static byte[] bytes(String hash) {
    return HexFormat.of().parseHex(hash.toLowerCase(Locale.ROOT));
  }

  private static String bucket(String hash) {
    return hash.substring(0, BUCKET_HEX_CHARS).toLowerCase(Locale.ROOT);
  }
}
