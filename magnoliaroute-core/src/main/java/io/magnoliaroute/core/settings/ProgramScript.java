package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PriorityClass;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A program to run from the command line.
 *
 * @param kind the kind of program in the team's settings, if one is named
 * @param priority the class, if it is given
 * @param deadlineMs the deadline from the start, if it is given
 * @param steps the steps, in order
 */
public record ProgramScript(
    Optional<String> kind,
    Optional<PriorityClass> priority,
    OptionalLong deadlineMs,
    List<Step> steps) {

  /** Copies the steps. */
  public ProgramScript {
    steps = List.copyOf(steps);
  }

  /** One step. */
  public sealed interface Step {}

  /**
   * Asks a model.
   *
   * @param model the model
   * @param prompt what the user says
   * @param maxTokens the longest answer
   */
  public record ModelTurn(String model, String prompt, int maxTokens) implements Step {}

  /**
   * Calls an operation of a service.
   *
   * @param service the pool of the service
   * @param operation the operation
   * @param arguments the arguments, as plain maps, lists and values
   * @param idempotent whether it may run more than once
   * @param idempotencyKey the key, if it is given
   */
  public record Action(
      String service,
      String operation,
      Map<String, Object> arguments,
      boolean idempotent,
      Optional<String> idempotencyKey)
      implements Step {

    /** Copies the arguments, which may hold nulls. */
    public Action {
      arguments = Collections.unmodifiableMap(new LinkedHashMap<>(arguments));
    }
  }

  /**
   * Waits, as a program does while a tool runs.
   *
   * @param durationMs how long
   */
  public record Pause(long durationMs) implements Step {}

  /**
   * Runs a program as a sub-agent and waits for it.
   *
   * @param script the program
   */
  public record SubAgent(ProgramScript script) implements Step {}
}
