package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Keeps the table of VMs of this VM by partial probing.
 *
 * <p>One event loop calls all methods but {@link #view}, which any thread may call. No method
 * blocks. The caller sends what {@link #tick} and {@link #receive} return, passes on what {@link
 * #takeEvents} returns, and calls {@link #tick} every {@link #TICK_MS}.
 */
public final class MembershipController {

  /** The time between two ticks that the periods are made for. */
  public static final long TICK_MS = 100;

  private volatile MembershipView view;

  /**
   * Makes the controller of a VM that has just started.
   *
   * @param self this VM
   * @param startIncarnation higher than that of any earlier life of this VM, such as the start time
   *     in ms; a lower one is raised when peers report the earlier life
   * @param settings periods and bounds
   * @param random chooses probe order and helpers
   * @param nowMs the time
   */
  public MembershipController(
      MemberInfo self,
      long startIncarnation,
      MembershipSettings settings,
      RandomGenerator random,
      long nowMs) {
    this.view = new MembershipView(self.vm(), 0, java.util.Map.of());
  }

  /** Advances timers; sends probes that are due and settles those that were not answered. */
  public List<Outgoing> tick(long nowMs) {
    return List.of();
  }

  /** Takes in a message; {@code from} is the VM that the connection was authenticated for. */
  public List<Outgoing> receive(VmId from, MembershipMessage m, long nowMs) {
    return List.of();
  }

  /** Returns the current snapshot. */
  public MembershipView view() {
    return view;
  }

  /** Returns what has happened since the last call, in order. */
  public List<MembershipEvent> takeEvents() {
    return List.of();
  }

  /** Takes in an answer of the platform's VM list. */
  public void applyPlatformList(PlatformList list, long nowMs) {}

  /** Adds a peer from the process settings, to be probed until it answers. */
  public void addSeed(VmId vm, PeerAddress address) {}

  /** Sets the settings version in force on this VM, which probes and acks carry. */
  public void configVersion(long version) {}

  /** Marks this VM as leaving and returns messages that spread the mark at once. */
  public List<Outgoing> leave(long nowMs) {
    return List.of();
  }

  /** Returns messages that tell peers that this VM has stopped; the last call before the exit. */
  public List<Outgoing> stopped(long nowMs) {
    return List.of();
  }

  /** Returns where peers reach the VM, from the table or from the seeds. */
  public Optional<PeerAddress> address(VmId vm) {
    return Optional.empty();
  }
}
