package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A caller and its program: turns in order, sub-agents side by side, and a limited patience. */
final class ProgramRun {

  final ProgramPlan plan;
  final Map<EndpointId, Integer> cachedAt = new HashMap<>();
  final List<CallRun> openCalls = new ArrayList<>();

  boolean accepted;
  long attainedUnits;
  long recomputedTokens;
  long reusableTokens;
  ProgramEnding ending;
  long endedMs;

  private final PolicyRun run;
  private int turn;
  private int historyTokens;
  private int openSubAgents;

  ProgramRun(ProgramPlan plan, PolicyRun run) {
    this.plan = plan;
    this.run = run;
  }

  long deadlineMs() {
    return plan.arrivalMs() + plan.patienceMs();
  }

  boolean hasEnded() {
    return ending != null;
  }

  long remainingUnits() {
    return plan.remainingUnits(Math.min(turn, plan.turns().size()));
  }

  void start() {
    run.loop().atMs(deadlineMs(), this::leave);
    startTurn();
  }

  private void startTurn() {
    if (hasEnded()) {
      return;
    }
    TurnPlan current = plan.turns().get(turn);
    openSubAgents = current.subAgents();
    if (openSubAgents == 0) {
      callModel();
      return;
    }
    for (int i = 0; i < current.subAgents(); i++) {
      ProgramId child = new ProgramId(plan.id().value() + "-" + turn + "-" + i);
      open(
          new CallRun(
              new CallId(child, 0, 0),
              this,
              TurnPlan.SUB_AGENT_PROMPT_TOKENS,
              0,
              current,
              this::endSubAgent));
    }
  }

  private void endSubAgent() {
    openSubAgents--;
    if (openSubAgents == 0) {
      callModel();
    }
  }

  private void callModel() {
    if (hasEnded()) {
      return;
    }
    TurnPlan current = plan.turns().get(turn);
    int promptTokens = historyTokens + current.newPromptTokens();
    CallId id = new CallId(plan.id(), turn, 0);
    open(new CallRun(id, this, promptTokens, historyTokens, current, this::endTurn));
    historyTokens = promptTokens + current.outputTokens();
  }

  private void endTurn() {
    turn++;
    if (turn == plan.turns().size()) {
      end(ProgramEnding.FINISHED);
      return;
    }
    run.loop().afterMs(plan.turns().get(turn).pauseMs(), this::startTurn);
  }

  private void open(CallRun call) {
    openCalls.add(call);
    reusableTokens += call.reusableTokens;
    run.offer(call);
  }

  void leave() {
    if (hasEnded()) {
      return;
    }
    end(accepted ? ProgramEnding.LEFT : ProgramEnding.REFUSED);
    List.copyOf(openCalls).forEach(run::abandon);
  }

  private void end(ProgramEnding how) {
    ending = how;
    endedMs = run.loop().nowMs();
    run.ended(this);
  }
}
