package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.action.ActionEffect;
import io.magnoliaroute.core.action.ActionFlow;
import io.magnoliaroute.core.action.ActionRecovery;
import io.magnoliaroute.core.action.SendFailure;
import io.magnoliaroute.core.action.StatusResponse;
import io.magnoliaroute.core.log.AbandonResult;
import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.program.AppliedRecord;
import java.util.List;

/**
 * The common interface of {@link ActionFlow} and {@link ActionRecovery} for {@link FlowDriver}. All
 * methods must be called under the partition's lock.
 */
interface FlowAdapter {

  List<ActionEffect> start(long nowMs);

  List<ActionEffect> onApplied(AppliedRecord applied, long nowMs);

  List<ActionEffect> onRestored(long nowMs);

  List<ActionEffect> tick(long nowMs);

  List<ActionEffect> onAppendCancelled(AbandonResult result, long nowMs);

  List<ActionEffect> onAppendRefused(RecordId id, long nowMs);

  List<ActionEffect> beginSend(long nowMs);

  List<ActionEffect> onResponse(Bytes result, long nowMs);

  List<ActionEffect> onSendFailed(SendFailure failure, long nowMs);

  List<ActionEffect> onStatusResponse(StatusResponse response, long token, long nowMs);

  boolean isClosed();

  /** Returns an adapter for the flow of a caller's action. */
  static FlowAdapter of(ActionFlow flow) {
    return new FlowAdapter() {
      @Override
      public List<ActionEffect> start(long nowMs) {
        return flow.start(nowMs);
      }

      @Override
      public List<ActionEffect> onApplied(AppliedRecord applied, long nowMs) {
        return flow.onApplied(applied, nowMs);
      }

      @Override
      public List<ActionEffect> onRestored(long nowMs) {
        return flow.onRestored(nowMs);
      }

      @Override
      public List<ActionEffect> tick(long nowMs) {
        return flow.tick(nowMs);
      }

      @Override
      public List<ActionEffect> onAppendCancelled(AbandonResult result, long nowMs) {
        return flow.onAppendCancelled(result, nowMs);
      }

      @Override
      public List<ActionEffect> onAppendRefused(RecordId id, long nowMs) {
        return flow.onAppendRefused(id, nowMs);
      }

      @Override
      public List<ActionEffect> beginSend(long nowMs) {
        return flow.beginSend(nowMs);
      }

      @Override
      public List<ActionEffect> onResponse(Bytes result, long nowMs) {
        return flow.onResponse(result, nowMs);
      }

      @Override
      public List<ActionEffect> onSendFailed(SendFailure failure, long nowMs) {
        return flow.onSendFailed(failure, nowMs);
      }

      @Override
      public List<ActionEffect> onStatusResponse(StatusResponse response, long token, long nowMs) {
        return flow.onStatusResponse(response, token, nowMs);
      }

      @Override
      public boolean isClosed() {
        return flow.isClosed();
      }
    };
  }

  /**
   * Returns an adapter for a recovery. A recovery sends no request, so events of a send return no
   * effects.
   */
  static FlowAdapter of(ActionRecovery recovery) {
    return new FlowAdapter() {
      @Override
      public List<ActionEffect> start(long nowMs) {
        return recovery.start(nowMs);
      }

      @Override
      public List<ActionEffect> onApplied(AppliedRecord applied, long nowMs) {
        return recovery.tick(nowMs);
      }

      @Override
      public List<ActionEffect> onRestored(long nowMs) {
        return recovery.tick(nowMs);
      }

      @Override
      public List<ActionEffect> tick(long nowMs) {
        return recovery.tick(nowMs);
      }

      @Override
      public List<ActionEffect> onAppendCancelled(AbandonResult result, long nowMs) {
        return List.of();
      }

      @Override
      public List<ActionEffect> onAppendRefused(RecordId id, long nowMs) {
        return recovery.onAppendRefused(id, nowMs);
      }

      @Override
      public List<ActionEffect> beginSend(long nowMs) {
        return List.of();
      }

      @Override
      public List<ActionEffect> onResponse(Bytes result, long nowMs) {
        return List.of();
      }

      @Override
      public List<ActionEffect> onSendFailed(SendFailure failure, long nowMs) {
        return List.of();
      }

      @Override
      public List<ActionEffect> onStatusResponse(StatusResponse response, long token, long nowMs) {
        return recovery.onStatusResponse(response, token, nowMs);
      }

      @Override
      public boolean isClosed() {
        return recovery.isClosed();
      }
    };
  }
}
