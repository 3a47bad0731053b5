package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulates a caller and its program: sequential turns, parallel sub-agents and a timeout. */
final class SimulatedProgram {

  final ProgramSpec spec;
  final Map<EndpointId, Integer> cachedTokensByEndpoint = new HashMap<>();
  final List<SimulatedCall> runningCalls = new ArrayList<>();

  boolean accepted;
  long attainedServiceUnits;
  long recomputedTokens;
  long reusableTokens;
  ProgramOutcome outcome;
  long endedAtMs;

  private final PolicySimulation simulation;
  private int turnIndex;
  private int historyTokens;
  private int runningSubAgents;

  SimulatedProgram(ProgramSpec spec, PolicySimulation simulation) {
    this.spec = spec;
    this.simulation = simulation;
  }

  long deadlineMs() {
    return spec.arrivalMs() + spec.timeoutMs();
  }

  boolean hasEnded() {
    return outcome != null;
  }

  long remainingServiceUnits() {
    return spec.remainingServiceUnits(Math.min(turnIndex, spec.turns().size()));
  }

  void start() {
    simulation.loop().scheduleAtMs(deadlineMs(), this::abandon);
    startTurn();
  }

  private void startTurn() {
    if (hasEnded()) {
      return;
    }
    TurnSpec current = spec.turns().get(turnIndex);
    runningSubAgents = current.subAgents();
    if (runningSubAgents == 0) {
      callModel();
      return;
    }
    for (int i = 0; i < current.subAgents(); i++) {
      ProgramId child = new ProgramId(spec.id().value() + "-" + turnIndex + "-" + i);
      offer(
          new SimulatedCall(
              new CallId(child, 0, 0),
              this,
              TurnSpec.SUB_AGENT_PROMPT_TOKENS,
              0,
              current,
              this::completeSubAgentCall));
    }
  }

  private void completeSubAgentCall() {
    runningSubAgents--;
    if (runningSubAgents == 0) {
      callModel();
    }
  }

  private void callModel() {
    if (hasEnded()) {
      return;
    }
    TurnSpec current = spec.turns().get(turnIndex);
    int promptTokens = historyTokens + current.newPromptTokens();
    CallId id = new CallId(spec.id(), turnIndex, 0);
    offer(new SimulatedCall(id, this, promptTokens, historyTokens, current, this::completeTurn));
    historyTokens = promptTokens + current.outputTokens();
  }

  private void completeTurn() {
    turnIndex++;
    if (turnIndex == spec.turns().size()) {
      end(ProgramOutcome.FINISHED);
      return;
    }
    simulation.loop().scheduleAfterMs(spec.turns().get(turnIndex).pauseMs(), this::startTurn);
  }

  private void offer(SimulatedCall call) {
    runningCalls.add(call);
    reusableTokens += call.reusableTokens;
    simulation.offer(call);
  }

  /** Ends the program at the timeout of its caller and cancels the running calls. */
  void abandon() {
    if (hasEnded()) {
      return;
    }
    end(accepted ? ProgramOutcome.LEFT : ProgramOutcome.REFUSED);
    List.copyOf(runningCalls).forEach(simulation::abandon);
  }

  private void end(ProgramOutcome programOutcome) {
    outcome = programOutcome;
    endedAtMs = simulation.loop().nowMs();
    simulation.onProgramEnded(this);
  }
}
