package io.magnoliaroute.core.gateway.quota;

import io.magnoliaroute.core.gateway.RequestPermitIssuer.Permit;
import io.magnoliaroute.core.gateway.TokenBucket;
import io.magnoliaroute.core.gateway.workspace.WorkspaceQuota;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Issues the permits of workspaces, with a token bucket for each workspace: rate and capacity are
 * those of the quota, times the share of this VM. Not thread-safe; confined to one event loop.
 *
 * <p>In any window W, one bucket issues at most rate x W + burst. The bound that must hold for all
 * VMs together is (rate x W + burst) x 1.1 + 20, so the excess of all other causes may reach 0.5 s
 * of the rate (at W = 5 s), a tenth of the burst, and 20 permits. What each cause may add is given
 * at its constant; {@code docs/design/quotas.md} sums them up.
 */
public final class WorkspacePermitIssuer {

  /**
   * Time for which a new issuer issues nothing while another one may not have noticed yet that it
   * is cut off. Longer than {@link VmReachability#REGION_SILENT_MS}, after which that one has
   * reduced its share, so that both never issue the same part of the rate.
   */
  public static final long QUIET_MS = 700;

  /**
   * Time beyond {@link #QUIET_MS} for which a new issuer grants permits in advance, so that the
   * requests that arrive in its quiet time wait instead of being refused. If the previous issuer
   * was only slow, these permits exceed the quota: 0.4 s of the rate, or two permits.
   */
  static final long ADVANCE_MS = 400;

  private static final double ADVANCE_PERMITS = 2;
  private static final long MAX_ADVANCE_MS = 800;

  /**
   * The same for a new issuer that is unopposed and has no quiet time. Permits granted in advance
   * are used even if the issuer dies, at 0.05 s of the rate for each issuer that dies in a window.
   */
  private static final long UNOPPOSED_ADVANCE_MS = 50;

  /** Time for which an issuer counts as new. */
  private static final long NEW_ISSUER_MS = 2 * QUIET_MS;

  /**
   * Credit of a new issuer that is unopposed, as a share of what the quota allows in a window: 0.05
   * s of the rate, for the requests that waited for the previous one.
   */
  private static final double START_SHARE = 0.01;

  /** The permit that every new issuer has, so that a small workspace is served at once. */
  private static final double START_PERMITS = 1;

  /**
   * Share from which the capacity is at least one permit; below one, a bucket never grants. A fleet
   * divides into at most five parts of this share, which exceed the quota by five permits.
   */
  private static final double MIN_SHARE_FOR_ONE = 0.2;

  /**
   * Limit of the workspaces with an account, for about 400 bytes each; many times the number of
   * workspaces with a quota at present.
   */
  static final int MAX_ACCOUNTS = 4_096;

  private static final double MS_PER_S = 1_000;

  private final QuotaBounds bounds;
  private final Map<String, Account> accounts = new HashMap<>();
  private final Map<String, Long> lastStartMs = new HashMap<>();
  private final Map<String, Long> lastExtraMs = new HashMap<>();

  private static final class Account {
    private final TokenBucket permits;
    private final GrantWindow window;
    private final boolean unopposed;
    private final long newUntilMs;
    private long configVersion;
    private WorkspaceQuota quota;

    private Account(PermitDemand demand, boolean unopposed, long windowMs, long nowMs) {
      this.permits = new TokenBucket(unopposed ? nowMs : nowMs + QUIET_MS);
      this.window = new GrantWindow(windowMs, nowMs);
      this.unopposed = unopposed;
      this.newUntilMs = nowMs + NEW_ISSUER_MS;
      this.configVersion = demand.configVersion();
      this.quota = demand.quota();
    }

    private long maxDelayMs(double permitsPerS, long nowMs) {
      if (nowMs >= newUntilMs) {
        return 0;
      }
      if (unopposed) {
        return UNOPPOSED_ADVANCE_MS;
      }
      long advanceMs = (long) Math.min(MAX_ADVANCE_MS, ADVANCE_PERMITS / permitsPerS * MS_PER_S);
      return QUIET_MS + Math.max(ADVANCE_MS, advanceMs);
    }

    private void applyNewer(PermitDemand demand) {
      if (demand.configVersion() > configVersion) {
        configVersion = demand.configVersion();
        quota = demand.quota();
      }
    }
  }

  /** Creates an issuer without accounts, as after a power loss. */
  public WorkspacePermitIssuer(QuotaBounds bounds) {
    this.bounds = bounds;
  }

  /** Decides on a request for a permit, on behalf of all VMs that this one reaches. */
  public Permit request(PermitDemand demand, IssuerStanding standing, long nowMs) {
    Account account = accounts.get(demand.workspace());
    if (account == null) {
      if (accounts.size() >= MAX_ACCOUNTS) {
        return new Permit(false, bounds.windowMs());
      }
      account = open(demand, standing, nowMs);
    }
    account.applyNewer(demand);
    if (!account.quota.isLimited()) {
      return new Permit(true, 0);
    }
    double permitsPerS = account.quota.requestsPerS() * standing.share();
    account.permits.refill(permitsPerS, capacity(account.quota, standing), nowMs);
    long delayMs = permitsPerS > 0 ? account.permits.delayMs(permitsPerS, nowMs) : Long.MAX_VALUE;
    if (delayMs <= account.maxDelayMs(permitsPerS, nowMs)
        && account.window.count(nowMs) < maxInWindow(account.quota)) {
      account.permits.take();
      account.window.add(nowMs);
      return new Permit(true, delayMs);
    }
    if (standing.isolated() && tryUse(lastExtraMs, demand.workspace(), nowMs)) {
      return new Permit(true, 0);
    }
    return new Permit(false, Math.max(1, Math.min(delayMs, bounds.windowMs())));
  }

  // Starts almost empty: the previous issuer may just have issued the last permits.
  private Account open(PermitDemand demand, IssuerStanding standing, long nowMs) {
    Account account = new Account(demand, standing.unopposed(), bounds.windowMs(), nowMs);
    if (tryUse(lastStartMs, demand.workspace(), nowMs)) {
      double credit = standing.unopposed() ? START_SHARE * quotaInWindow(demand.quota()) : 0;
      account.permits.add(standing.share() * (START_PERMITS + credit));
    }
    accounts.put(demand.workspace(), account);
    return account;
  }

  // Credit beyond the rate is given once in a window, however often the issuer changes.
  private boolean tryUse(Map<String, Long> lastMs, String workspace, long nowMs) {
    Long last = lastMs.get(workspace);
    if (last != null && nowMs - last <= bounds.windowMs()) {
      return false;
    }
    if (lastMs.size() >= MAX_ACCOUNTS) {
      lastMs.values().removeIf(each -> nowMs - each > bounds.windowMs());
    }
    lastMs.put(workspace, nowMs);
    return true;
  }

  private static double capacity(WorkspaceQuota quota, IssuerStanding standing) {
    double minimum = standing.share() >= MIN_SHARE_FOR_ONE ? 1 : 0;
    return Math.max(minimum, quota.burst() * standing.share());
  }

  private double quotaInWindow(WorkspaceQuota quota) {
    return quota.requestsPerS() * bounds.windowMs() / MS_PER_S + quota.burst();
  }

  // Returned permits must not let the count exceed the quota: the bucket may have been full since
  // they were granted.
  private double maxInWindow(WorkspaceQuota quota) {
    return quotaInWindow(quota) + START_PERMITS;
  }

  /**
   * Returns a permit whose request did not reach an endpoint.
   *
   * @param grantedAtMs when this VM granted the permit, by its own clock
   */
  public void giveBack(String workspace, long grantedAtMs, long nowMs) {
    Account account = accounts.get(workspace);
    if (account != null && account.window.remove(grantedAtMs, nowMs)) {
      account.permits.add(1);
    }
  }

  /** Removes all accounts, after a pause in which other VMs may have issued permits. */
  public void reset() {
    accounts.clear();
  }

  /**
   * Removes the accounts of workspaces that other VMs issue the permits of; their credit would be
   * granted a second time.
   *
   * @param issues whether this VM issues the permits of a workspace
   */
  public void retain(Predicate<String> issues) {
    accounts.keySet().removeIf(issues.negate());
  }

  /** Returns the workspaces whose permits this VM issues. */
  public Set<String> workspaces() {
    return Set.copyOf(accounts.keySet());
  }
}
