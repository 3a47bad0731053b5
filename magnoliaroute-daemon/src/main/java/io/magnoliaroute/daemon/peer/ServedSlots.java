package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.schedule.SlotGrant;
import io.magnoliaroute.daemon.slot.LocalSlots;
import io.magnoliaroute.daemon.slot.SlotListener;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Context;

/** Handles slot requests from partition owners on other VMs for the groups that this VM owns. */
final class ServedSlots {

  private final Context context;
  private final PeerLinks links;
  private final LocalSlots localSlots;

  ServedSlots(Context context, PeerLinks links, LocalSlots localSlots) {
    this.context = context;
    this.links = links;
    this.localSlots = localSlots;
  }

  void handleRequest(VmId from, PeerMessage.SlotRequest request) {
    localSlots.request(
        request.group(), request.call(), listener(from, request.group(), request.call().id()));
  }

  void handleReport(VmId from, PeerMessage.SlotReport report) {
    SlotListener listener = listener(from, report.group(), report.call().id());
    localSlots.restore(report.group(), report.call(), report.grant(), listener);
  }

  private SlotListener listener(VmId holder, String group, CallId call) {
    return new SlotListener() {
      @Override
      public void onGranted(SlotGrant grant) {
        send(new PeerMessage.SlotGrant(group, grant));
      }

      @Override
      public void onRefused(String reason, long retryAfterMs) {
        send(new PeerMessage.SlotRefusal(group, call, reason, retryAfterMs));
      }

      @Override
      public void onPreempted(long grantId) {
        send(new PeerMessage.SlotPreempt(group, call, grantId));
      }

      private void send(PeerMessage message) {
        context.runOnContext(run -> links.send(holder, message));
      }
    };
  }
}
