package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.membership.MembershipView;
import io.magnoliaroute.core.membership.RendezvousHashing;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.ReplySink;
import io.magnoliaroute.daemon.request.RequestHandler;
import io.magnoliaroute.daemon.request.RequestKind;
import java.util.function.Supplier;

/**
 * Routes each request to the owner of its program's partition, either this VM or a peer. List
 * requests are sent to all owners.
 */
final class OwnerRouter implements RequestHandler {

  // Membership views of VMs can differ for a short time. After this many forwards a request is
  // handled locally, which prevents a forwarding loop.
  private static final int MAX_FORWARDS = 2;

  private final VmId self;
  private final RegionId region;
  private final int partitionCount;
  private final Supplier<MembershipView> membershipView;
  private final ForwardedRequests forwardedRequests;
  private final RequestHandler localHandler;
  private final ProgramListCollector listCollector;

  OwnerRouter(
      VmId self,
      RegionId region,
      int partitionCount,
      Supplier<MembershipView> membershipView,
      ForwardedRequests forwardedRequests,
      RequestHandler localHandler) {
    this.self = self;
    this.region = region;
    this.partitionCount = partitionCount;
    this.membershipView = membershipView;
    this.forwardedRequests = forwardedRequests;
    this.localHandler = localHandler;
    this.listCollector = new ProgramListCollector(self, forwardedRequests, localHandler);
  }

  @Override
  public void handle(CallerRequest request, ReplySink sink) {
    if (request.kind() == RequestKind.LIST) {
      if (request.forwardCount() > 0) {
        localHandler.handle(request, sink);
      } else {
        listCollector.collect(
            membershipView.get().owners(region), request.withIncrementedForwardCount(), sink);
      }
      return;
    }
    VmId owner = ownerOf(request.program().partition(partitionCount));
    if (owner.equals(self) || request.forwardCount() >= MAX_FORWARDS) {
      localHandler.handle(request, sink);
      return;
    }
    forwardedRequests.forward(owner, request.withIncrementedForwardCount(), sink);
  }

  /** Returns the owner of the partition, or this VM if the membership view has none. */
  VmId ownerOf(int partition) {
    return membershipView
        .get()
        .owner(RendezvousHashing.partitionKey(partition), region)
        .orElse(self);
  }

  /** Returns the owner of the group, or this VM if the membership view has none. */
  VmId ownerOfGroup(String group) {
    return membershipView.get().owner(RendezvousHashing.groupKey(group), region).orElse(self);
  }
}
