package io.magnoliaroute.wire;

import io.magnoliaroute.core.membership.MembershipMessage;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.schedule.CallObservation;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.WaitingCall;
import java.util.List;

/**
 * A message between two VMs.
 *
 * <p>Responses to slot requests and forwarded requests are matched by the {@link CallId}, which
 * consists of program, turn and attempt. Responses with a {@code request} component are matched by
 * that number.
 */
public sealed interface PeerMessage {

  /** Starts the handshake; sent by the connecting side. */
  record Hello(VmId vm, Bytes nonce) implements PeerMessage {}

  /** Responds to {@link Hello} with the accepting side's nonce and proof of the shared secret. */
  record Challenge(VmId vm, Bytes nonce, Bytes proof) implements PeerMessage {}

  /** Completes the handshake with the connecting side's proof of the shared secret. */
  record Proof(Bytes proof) implements PeerMessage {}

  /** Carries a probe of the membership protocol or the response to one. */
  record Membership(MembershipMessage message) implements PeerMessage {}

  /**
   * Requests the settings branches of which the receiver has newer versions.
   *
   * @param request the request number that matches the response; unique for the sender
   * @param summary the version up to which the sender has all branches, encoded by {@code
   *     core.config}
   */
  record ConfigPull(long request, Bytes summary) implements PeerMessage {}

  /**
   * Carries settings branches.
   *
   * @param request the number of the request; 0 if the sender propagates a change without one
   * @param branches the branches, encoded by {@code core.config}
   */
  record ConfigPush(long request, Bytes branches) implements PeerMessage {}

  /** Requests a slot from the owner of the group. */
  record SlotRequest(String group, WaitingCall call) implements PeerMessage {}

  /** Grants a slot in response to {@link SlotRequest}. */
  record SlotGrant(String group, io.magnoliaroute.core.schedule.SlotGrant grant)
      implements PeerMessage {}

  /** Rejects a {@link SlotRequest}; the call has not run. */
  record SlotRefusal(String group, CallId call, String reason, long retryAfterMs)
      implements PeerMessage {}

  /** Reports the progress of a running call to the group owner, which also extends the grant. */
  record SlotProgress(String group, CallId call, CallObservation seen) implements PeerMessage {}

  /** Releases a slot and reports the measured times of the call. */
  record SlotRelease(String group, CallId call, CallResult result) implements PeerMessage {}

  /** Cancels a slot request whose caller has disconnected. */
  record SlotCancel(String group, CallId call) implements PeerMessage {}

  /** Orders the holder of a grant to cancel its stream, to free the slot for an urgent call. */
  record SlotPreempt(String group, CallId call, long grantId) implements PeerMessage {}

  /** Reports a grant that is still held to a new owner of the group. */
  record SlotReport(String group, WaitingCall call, io.magnoliaroute.core.schedule.SlotGrant grant)
      implements PeerMessage {}

  /**
   * Forwards a caller's request to the partition owner.
   *
   * @param call identifies the request on this connection; its responses carry the same value
   * @param kind the operation, see {@code docs/interfaces.md}
   * @param team the team that the caller was authenticated for
   * @param forwards number of earlier forwards; bounds loops between VMs with different views of
   *     the ownership
   * @param fields the header fields of the request that the operation needs
   * @param body the request body
   */
  record ProgramOpen(
      CallId call, String kind, TeamId team, int forwards, List<HeaderField> fields, Bytes body)
      implements PeerMessage {

    /** Makes a defensive copy of the fields. */
    public ProgramOpen {
      fields = List.copyOf(fields);
    }
  }

  /** Starts the response to a forwarded request with its status and header fields. */
  record ProgramHead(CallId call, int status, List<HeaderField> fields) implements PeerMessage {

    /** Makes a defensive copy of the fields. */
    public ProgramHead {
      fields = List.copyOf(fields);
    }
  }

  /** Carries a chunk of the response body. */
  record ProgramChunk(CallId call, Bytes content) implements PeerMessage {}

  /** Ends the response. */
  record ProgramClose(CallId call) implements PeerMessage {}

  /** Cancels a forwarded request whose caller has disconnected. */
  record ProgramCancel(CallId call) implements PeerMessage {}

  /** Grants the sender of a response credit for that many further bytes (flow control). */
  record ProgramCredit(CallId call, int bytes) implements PeerMessage {}

  /** Notifies the group owner of the end of a program, so that its engine memory is released. */
  record CacheRelease(String group, ProgramId program) implements PeerMessage {}

  /**
   * Replicates an unlogged turn to one peer.
   *
   * @param partition the partition of the program
   * @param program the program
   * @param turn the number of the turn
   * @param content the turn's content
   */
  record HistoryMirror(int partition, ProgramId program, int turn, Bytes content)
      implements PeerMessage {}

  /**
   * Requests a reservation for a turn from a holder of program budgets.
   *
   * @param request the request number that matches the response; unique for the connection
   * @param program the program
   * @param budgetTokens maximum number of tokens that all turns of the program may generate
   * @param turnTokens maximum number of tokens that this turn generates
   * @param mode the name of the mode, which determines the basis of the holder's decision
   */
  record AllowanceRequest(
      long request, String program, long budgetTokens, long turnTokens, String mode)
      implements PeerMessage {}

  /**
   * Responds to {@link AllowanceRequest}.
   *
   * @param request the number of the request
   * @param program the program
   * @param turnTokens maximum number of tokens that the turn generates
   * @param verdict the name of the holder's verdict
   * @param usedTokens tokens that the holder knows to be used; running turns count with their
   *     maximum
   * @param granter the name of another holder that has the newest slice; empty if there is none
   * @param unrecorded the use of each holder that no record covers, as far as the sender knows;
   *     null from releases that do not report it
   * @param restarted whether the sender started after the program may have begun, so that it may
   *     not know earlier use
   * @param startedInOutage whether the store was unavailable when the sender started
   */
  record AllowanceReply(
      long request,
      String program,
      long turnTokens,
      String verdict,
      long usedTokens,
      String granter,
      List<UsageNote> unrecorded,
      boolean restarted,
      boolean startedInOutage)
      implements PeerMessage {

    /** Makes a defensive copy of the list. */
    public AllowanceReply {
      unrecorded = unrecorded == null ? null : List.copyOf(unrecorded);
    }
  }

  /**
   * Replicates the usage of a program's budget to a VM that may become its holder.
   *
   * @param program the program
   * @param holder the name of the reporting holder
   * @param usedTokens tokens that the holder knows to be used; running turns count with their
   *     maximum
   * @param unrecordedTokens tokens that the holder itself has used and that no record covers yet
   */
  record UsageNote(String program, String holder, long usedTokens, long unrecordedTokens)
      implements PeerMessage {}

  /** Notifies that the rest of a program's budget is too small for another turn. */
  record BudgetExhausted(String program) implements PeerMessage {}

  /** Releases the part of a reservation that was not delivered to the client. */
  record AllowanceSettlement(String program, long reservedTokens, long handedTokens)
      implements PeerMessage {}

  /** Notifies that an endpoint crashed while it ran a request. */
  record RequestCrashed(String fingerprint, String endpoint) implements PeerMessage {}

  /** Notifies that an endpoint does not accept connections from the sender. */
  record EndpointUnreachable(String endpoint) implements PeerMessage {}

  /**
   * Carries a tombstone: one start of an endpoint accepts no more requests.
   *
   * @param endpoint the id of the endpoint
   * @param startedAtMs Unix time of the start
   * @param sequence sequence number of the last entry of that start that is invalid
   */
  record EndpointDeparture(String endpoint, long startedAtMs, long sequence)
      implements PeerMessage {}

  /** Reports the sender's outcomes at failing endpoints to the VM that aggregates them. */
  record OutcomeReport(String vm, List<OutcomeEntry> outcomes) implements PeerMessage {

    /** Makes a defensive copy of the list. */
    public OutcomeReport {
      outcomes = List.copyOf(outcomes);
    }
  }

  /** Distributes the outcomes at failing endpoints, aggregated over the VMs of a data centre. */
  record OutcomeSummary(List<OutcomeEntry> outcomes) implements PeerMessage {

    /** Makes a defensive copy of the list. */
    public OutcomeSummary {
      outcomes = List.copyOf(outcomes);
    }
  }

  /**
   * Decayed counts of the outcomes of recent requests at an endpoint.
   *
   * @param endpoint the id of the endpoint
   * @param answered weight of the answered requests
   * @param failed weight of the failed requests
   */
  record OutcomeEntry(String endpoint, double answered, double failed) {}

  /**
   * Requests a permit to send a request to an endpoint that limits its request rate.
   *
   * @param request the request number that matches the response; unique for the connection
   * @param limit the limit as the sender knows it
   * @param maxDelayMs the longest delay that the sender accepts
   */
  record PermitRequest(long request, RequestLimitNote limit, long maxDelayMs)
      implements PeerMessage {}

  /**
   * Responds to {@link PermitRequest}.
   *
   * @param request the number of the request
   * @param granted whether the request may be sent
   * @param delayMs the delay after which it may be sent, or, if the permit was denied, after which
   *     the next one would be available
   */
  record PermitReply(long request, boolean granted, long delayMs) implements PeerMessage {}

  /**
   * Notifies of the request rate that an endpoint accepts from all VMs together.
   *
   * @param endpoint the id of the endpoint
   * @param startedAtMs Unix time of the endpoint's start that the limit applies to
   * @param limited whether there is a limit; if not, an earlier one has ended
   * @param requestsPerS the accepted requests per second; 0 if there is no limit
   */
  record RequestLimitNote(String endpoint, long startedAtMs, boolean limited, double requestsPerS)
      implements PeerMessage {}

  /**
   * Requests a permit to run a request of a workspace with a quota; sent to VMs of protocol version
   * 2 and later.
   *
   * @param request the request number that matches the response; unique for the connection
   * @param vm the id of the sender
   * @param workspace the name of the workspace; empty if the sender only wants to know whether the
   *     receiver replies
   * @param configVersion the configuration version that the quota is from
   * @param permitsPerS the rate of the quota; 0 if there is none
   * @param burst the burst of the quota
   * @param forwarded whether another VM forwarded the request to the sender; it is not forwarded
   *     twice
   */
  record WorkspacePermitRequest(
      long request,
      String vm,
      String workspace,
      long configVersion,
      double permitsPerS,
      double burst,
      boolean forwarded)
      implements PeerMessage {}

  /**
   * Responds to {@link WorkspacePermitRequest}.
   *
   * @param request the number of the request
   * @param verdict the name of the decision
   * @param delayMs the delay after which the request may run, or, if the permit was denied, after
   *     which the next one would be available
   * @param issuer the id of the VM that decided
   */
  record WorkspacePermitReply(long request, String verdict, long delayMs, String issuer)
      implements PeerMessage {}

  /**
   * Returns a permit whose request did not reach an endpoint to the VM that issued it.
   *
   * @param workspace the name of the workspace
   * @param grantedAgoMs time since the permit was granted
   */
  record WorkspacePermitReturn(String workspace, long grantedAgoMs) implements PeerMessage {}

  /**
   * Asks a relay how a tunnel has ended, before a response is considered complete that ends with
   * its connection.
   *
   * @param request the request number that matches the response; unique for the connection
   * @param callerAddress the local address of the tunnel at the sender
   */
  record TunnelEndRequest(long request, String callerAddress) implements PeerMessage {}

  /**
   * Responds to {@link TunnelEndRequest}.
   *
   * @param request the number of the request
   * @param closedByEndpoint whether the endpoint closed its connection without an error; false if
   *     the relay does not know the tunnel
   */
  record TunnelEndReply(long request, boolean closedByEndpoint) implements PeerMessage {}

  /**
   * A request that has crashed endpoints, as part of a {@link RoutingStateReply}.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoints the endpoints that it has crashed; empty if it is quarantined
   * @param quarantinedForMs the rest of the quarantine, or 0 if it is only suspected
   */
  record CrashingRequest(String fingerprint, List<String> endpoints, long quarantinedForMs) {

    /** Makes a defensive copy of the list. */
    public CrashingRequest {
      endpoints = List.copyOf(endpoints);
    }
  }

  /**
   * Requests the receiver's routing state: the configuration, the endpoints and the VMs.
   *
   * @param request the request number that matches the response; unique for the connection
   * @param configVersion the version of the configuration that the sender has
   */
  record RoutingStateRequest(long request, long configVersion) implements PeerMessage {}

  /**
   * Responds to {@link RoutingStateRequest}.
   *
   * @param request the number of the request
   * @param config the configuration; empty if the requester has this version or a newer one
   * @param endpointsOffset the offset in the store up to which the sender has applied the
   *     endpoints' entries; negative if it has not listed them yet
   * @param endpoints all endpoints as of this offset
   * @param gone the tombstones of endpoints, so that older lists do not restore the endpoints
   * @param requestLimits the request limits of endpoints; empty in replies of earlier releases
   * @param vms the VMs
   * @param crashingRequests the requests that have crashed endpoints; empty in replies of earlier
   *     releases
   */
  record RoutingStateReply(
      long request,
      Bytes config,
      long endpointsOffset,
      List<EndpointInfo> endpoints,
      List<EndpointDeparture> gone,
      List<RequestLimitNote> requestLimits,
      List<VmInfo> vms,
      List<CrashingRequest> crashingRequests)
      implements PeerMessage {

    /** Makes defensive copies of the lists. */
    public RoutingStateReply {
      endpoints = List.copyOf(endpoints);
      gone = List.copyOf(gone);
      requestLimits = requestLimits == null ? List.of() : List.copyOf(requestLimits);
      crashingRequests = crashingRequests == null ? List.of() : List.copyOf(crashingRequests);
      vms = List.copyOf(vms);
    }
  }

  /**
   * Requests records of kept turns.
   *
   * @param request the request number that matches the response; unique for the connection
   * @param keys the keys of the records
   * @param readsStore whether the receiver reads its partitions of the store for records that it
   *     does not have in memory
   */
  record HistoryRequest(long request, List<String> keys, boolean readsStore)
      implements PeerMessage {

    /** Makes a defensive copy of the list. */
    public HistoryRequest {
      keys = List.copyOf(keys);
    }
  }

  /**
   * Responds to {@link HistoryRequest}.
   *
   * @param request the number of the request
   * @param records the records that the sender has
   * @param readToEnd whether the sender read the partitions of all keys to the end after it got the
   *     request, so that the store has no other records of these keys
   * @param knowsPast whether the sender has lost no record within the retention period. Replies
   *     that read the store say so only if it has run for the whole period, or since the first
   *     start of the system: earlier releases rely on such a reply alone
   */
  record HistoryReply(long request, List<HistoryItem> records, boolean readToEnd, boolean knowsPast)
      implements PeerMessage {

    /** Makes a defensive copy of the list. */
    public HistoryReply {
      records = List.copyOf(records);
    }
  }

  /** A record of a kept turn and its key, see {@code core.gateway.history}. */
  record HistoryItem(String key, Bytes value) {}

  /**
   * Hands over a record to a home VM of its partition, which stores it unless the sender does.
   *
   * @param request the request number that matches the response; unique for the connection
   * @param item the record
   * @param storesNow whether the receiver is to store it at once, because the sender may not
   */
  record HistoryHandover(long request, HistoryItem item, boolean storesNow)
      implements PeerMessage {}

  /**
   * Responds to {@link HistoryHandover}.
   *
   * @param request the number of the request
   * @param held whether the sender holds the record until it is stored
   */
  record HistoryHandoverReply(long request, boolean held) implements PeerMessage {}

  /** An endpoint's registration, see {@code core.gateway.EndpointEntry}. */
  record EndpointInfo(
      String id,
      String service,
      String host,
      int port,
      String dataCentre,
      int slots,
      boolean draining,
      long startedAtMs,
      long sequence,
      String softwareVersion) {

    /** Replaces the version that peers of earlier releases do not send by an empty one. */
    public EndpointInfo {
      softwareVersion = softwareVersion == null ? "" : softwareVersion;
    }
  }

  /**
   * A VM and the address at which peers connect to it.
   *
   * @param peerProtocol the version of this protocol that the VM understands; null in messages of
   *     earlier releases
   * @param cpuCores the processor share of the VM in cores; null in messages of earlier releases
   */
  record VmInfo(
      String vm, String host, int port, String dataCentre, Integer peerProtocol, Double cpuCores) {}

  /** A header field of a forwarded request or of its response. */
  record HeaderField(String name, String value) {}
}
