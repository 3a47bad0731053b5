package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.schedule.CallEnding;
import io.magnoliaroute.core.schedule.CallObservation;
import io.magnoliaroute.core.schedule.CallResult;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.core.schedule.WaitingCall;
import io.magnoliaroute.daemon.slot.LocalSlots;
import io.magnoliaroute.daemon.slot.SlotListener;
import io.magnoliaroute.daemon.slot.Slots;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Context;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Requests slots from the owner of each group, either this VM or a peer. A call stays with the
 * owner that received its request. If that owner is lost, a waiting call is requested again from
 * the new owner, and a grant that is still held is reported to the new owner.
 */
final class RemoteSlots implements Slots {

  private static final long RETRY_AFTER_MS = 500;

  private static final class RequestedCall {
    private final String group;
    private final WaitingCall call;
    private final SlotListener listener;
    private VmId owner;
    private SlotGrant grant;

    RequestedCall(String group, WaitingCall call, SlotListener listener, VmId owner) {
      this.group = group;
      this.call = call;
      this.listener = listener;
      this.owner = owner;
    }
  }

  private final Context context;
  private final PeerLinks links;
  private final LocalSlots localSlots;
  private final VmId self;
  private final Function<String, VmId> groupOwners;
  private final Map<CallId, RequestedCall> requestedCalls = new HashMap<>();

  RemoteSlots(
      Context context,
      PeerLinks links,
      LocalSlots localSlots,
      VmId self,
      Function<String, VmId> groupOwners) {
    this.context = context;
    this.links = links;
    this.localSlots = localSlots;
    this.self = self;
    this.groupOwners = groupOwners;
  }

  @Override
  public void request(String group, WaitingCall call, SlotListener listener) {
    VmId owner = groupOwners.apply(group);
    if (owner.equals(self)) {
      localSlots.request(group, call, listener);
      return;
    }
    context.runOnContext(run -> sendRequest(new RequestedCall(group, call, listener, owner)));
  }

  @Override
  public void observe(String group, CallId id, CallObservation observation) {
    context.runOnContext(
        run -> {
          RequestedCall requestedCall = requestedCalls.get(id);
          if (requestedCall == null) {
            localSlots.observe(group, id, observation);
          } else {
            links.send(requestedCall.owner, new PeerMessage.SlotProgress(group, id, observation));
          }
        });
  }

  @Override
  public void release(String group, CallId id, CallResult result) {
    context.runOnContext(
        run -> {
          RequestedCall requestedCall = requestedCalls.get(id);
          if (requestedCall == null) {
            localSlots.release(group, id, result);
            return;
          }
          requestedCall.grant = null;
          if (result.ending() != CallEnding.PREEMPTED) {
            requestedCalls.remove(id);
          }
          links.send(requestedCall.owner, new PeerMessage.SlotRelease(group, id, result));
        });
  }

  @Override
  public void cancel(String group, CallId id) {
    context.runOnContext(
        run -> {
          RequestedCall requestedCall = requestedCalls.remove(id);
          if (requestedCall == null) {
            localSlots.cancel(group, id);
          } else {
            links.send(requestedCall.owner, new PeerMessage.SlotCancel(group, id));
          }
        });
  }

  void handleGrant(VmId from, PeerMessage.SlotGrant granted) {
    SlotGrant grant = granted.grant();
    RequestedCall requestedCall = requestedCalls.get(grant.call());
    if (requestedCall == null || !requestedCall.owner.equals(from)) {
      CallResult unused = CallResult.withoutTokens(grant.grantId(), CallEnding.CANCELLED);
      links.send(from, new PeerMessage.SlotRelease(granted.group(), grant.call(), unused));
      return;
    }
    requestedCall.grant = grant;
    requestedCall.listener.onGranted(grant);
  }

  void handleRefusal(VmId from, PeerMessage.SlotRefusal refusal) {
    RequestedCall requestedCall = requestedCalls.get(refusal.call());
    if (requestedCall != null && requestedCall.owner.equals(from)) {
      requestedCalls.remove(refusal.call());
      requestedCall.listener.onRefused(refusal.reason(), refusal.retryAfterMs());
    }
  }

  void handlePreemption(PeerMessage.SlotPreempt preemption) {
    RequestedCall requestedCall = requestedCalls.get(preemption.call());
    if (requestedCall != null) {
      requestedCall.listener.onPreempted(preemption.grantId());
    }
  }

  void handleOwnerLost(VmId owner) {
    List<RequestedCall> lost =
        requestedCalls.values().stream().filter(each -> each.owner.equals(owner)).toList();
    for (RequestedCall each : lost) {
      VmId newOwner = groupOwners.apply(each.group);
      if (newOwner.equals(owner)) {
        // The membership view still has the lost owner. A retry by the caller reaches the new one.
        refuseUnlessGranted(each);
        continue;
      }
      each.owner = newOwner;
      if (each.grant == null) {
        requestedCalls.remove(each.call.id());
        request(each.group, each.call, each.listener);
      } else if (newOwner.equals(self)) {
        requestedCalls.remove(each.call.id());
        localSlots.restore(each.group, each.call, each.grant, each.listener);
      } else {
        links.send(newOwner, new PeerMessage.SlotReport(each.group, each.call, each.grant));
      }
    }
  }

  private void refuseUnlessGranted(RequestedCall requestedCall) {
    if (requestedCall.grant == null) {
      requestedCalls.remove(requestedCall.call.id());
      requestedCall.listener.onRefused("owner_unreachable", RETRY_AFTER_MS);
    }
  }

  private void sendRequest(RequestedCall requestedCall) {
    requestedCalls.put(requestedCall.call.id(), requestedCall);
    links
        .send(
            requestedCall.owner,
            new PeerMessage.SlotRequest(requestedCall.group, requestedCall.call))
        .onFailure(
            failure -> {
              if (requestedCalls.remove(requestedCall.call.id(), requestedCall)) {
                requestedCall.listener.onRefused("owner_unreachable", RETRY_AFTER_MS);
              }
            });
  }
}
