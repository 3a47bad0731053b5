package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.gateway.workspace.BearerKeyHash;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.SettingsTree;
import io.magnoliaroute.core.settings.TeamSettings;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Authenticates teams and operators by the SHA-256 of their bearer token.
 *
 * <p>Team hashes are looked up by their first four bytes and then compared in constant time. Timing
 * can reveal at most these bytes of a hash, which do not help an attacker to find a token.
 */
public final class Authenticator {

  private static final int BUCKET_HEX_CHARS = 8;

  private final List<byte[]> operatorHashes;
  private volatile Map<String, List<TeamToken>> tokensByBucket = Map.of();

  private record TeamToken(Bytes hash, TeamId team) {}

  /**
   * Creates an authenticator for operators; it rejects all teams until {@link #updateTeams} is
   * called.
   *
   * @param operatorTokenHashes the SHA-256 hashes of the operator tokens, in hexadecimal
   */
  public Authenticator(List<String> operatorTokenHashes) {
    this.operatorHashes = operatorTokenHashes.stream().map(Authenticator::decodeHex).toList();
  }

  /** Replaces the teams and their token hashes by those of the settings. */
  public void updateTeams(SettingsTree tree) {
    Map<String, List<TeamToken>> updated = new HashMap<>();
    for (TeamSettings team : tree.teams().values()) {
      for (String hash : team.tokenHashes()) {
        updated
            .computeIfAbsent(bucketKey(hash), key -> new ArrayList<>())
            .add(new TeamToken(Bytes.copyOf(decodeHex(hash)), team.id()));
      }
    }
    tokensByBucket = Map.copyOf(updated);
  }

  /** Returns the team whose token the {@code Authorization} header contains. */
  public Optional<TeamId> findTeam(String header) {
    byte[] hash = tokenHash(header);
    if (hash == null) {
      return Optional.empty();
    }
    Optional<TeamId> found = Optional.empty();
    for (TeamToken candidate :
        tokensByBucket.getOrDefault(bucketKey(HexFormat.of().formatHex(hash)), List.of())) {
      if (MessageDigest.isEqual(candidate.hash().toArray(), hash)) {
        found = Optional.of(candidate.team());
      }
    }
    return found;
  }

  /** Returns whether the {@code Authorization} header contains an operator token. */
  public boolean isOperator(String header) {
    byte[] hash = tokenHash(header);
    if (hash == null) {
      return false;
    }
    boolean found = false;
    for (byte[] operatorHash : operatorHashes) {
      found |= MessageDigest.isEqual(operatorHash, hash);
    }
    return found;
  }

  /** Returns the SHA-256 of a token in lower-case hexadecimal, the form used in the settings. */
  public static String hashToken(String token) {
    return BearerKeyHash.ofKey(token).hex();
  }

  private static byte[] tokenHash(String header) {
    return BearerKeyHash.ofAuthorization(header).map(hash -> decodeHex(hash.hex())).orElse(null);
  }

  private static byte[] decodeHex(String hash) {
    return HexFormat.of().parseHex(hash.toLowerCase(Locale.ROOT));
  }

  private static String bucketKey(String hash) {
    return hash.substring(0, BUCKET_HEX_CHARS).toLowerCase(Locale.ROOT);
  }
}
