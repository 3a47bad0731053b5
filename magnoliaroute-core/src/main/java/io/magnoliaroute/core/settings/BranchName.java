package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;

/**
 * The name of a branch: {@code teams/<name>}, {@code pools/<name>} or {@code limits}.
 *
 * @param value the full name
 */
public record BranchName(String value) implements Comparable<BranchName> {

  /** The branch with the limits that apply to every VM. */
  public static final BranchName LIMITS = new BranchName("limits");

  private static final String TEAM_PREFIX = "teams/";
  private static final String POOL_PREFIX = "pools/";

  /** Throws {@link IllegalArgumentException} if the value is not the name of a branch. */
  public BranchName {
    if (value == null) {
      throw new IllegalArgumentException("branch name must not be null");
    }
    if (value.startsWith(TEAM_PREFIX)) {
      new TeamId(value.substring(TEAM_PREFIX.length()));
    } else if (value.startsWith(POOL_PREFIX)) {
      new PoolId(value.substring(POOL_PREFIX.length()));
    } else if (!value.equals("limits")) {
      throw new IllegalArgumentException(
          "branch must be teams/<name>, pools/<name> or limits, was: '" + value + "'");
    }
  }

  /** Returns the name of the team's branch. */
  public static BranchName of(TeamId team) {
    return new BranchName(TEAM_PREFIX + team);
  }

  /** Returns the name of the pool's branch. */
  public static BranchName of(PoolId pool) {
    return new BranchName(POOL_PREFIX + pool);
  }

  /** Returns the kind of the branch. */
  public BranchKind kind() {
    if (value.startsWith(TEAM_PREFIX)) {
      return BranchKind.TEAM;
    }
    return value.startsWith(POOL_PREFIX) ? BranchKind.POOL : BranchKind.LIMITS;
  }

  /**
   * Returns the team of a team branch.
   *
   * @throws IllegalStateException if the branch is of another kind
   */
  public TeamId team() {
    requireKind(BranchKind.TEAM);
    return new TeamId(value.substring(TEAM_PREFIX.length()));
  }

  /**
   * Returns the pool of a pool branch.
   *
   * @throws IllegalStateException if the branch is of another kind
   */
  public PoolId pool() {
    requireKind(BranchKind.POOL);
    return new PoolId(value.substring(POOL_PREFIX.length()));
  }

  private void requireKind(BranchKind expected) {
    if (kind() != expected) {
      throw new IllegalStateException(value + " is not a branch of kind " + expected);
    }
  }

  @Override
  public int compareTo(BranchName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
