package io.magnoliaroute.core.allowance;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against exceeded budgets when the holder of a partition changes, crashes or restarts, and
 * when responses of the store are lost.
 */
class AllowanceSequencesTest {

  private static final long TURN_TOKENS = 100;
  private static final int HOLDERS = 3;

  /** A store with the records of one partition and conditional appends. */
  private static final class Store {
    private final List<Grant> records = new ArrayList<>();

    private boolean append(AllowancePartition.Append append) {
      if (append.expectedEnd() != records.size()) {
        return false;
      }
      records.addAll(append.grants());
      return true;
    }

    private List<Grant> latestPerProgram() {
      Map<String, Grant> latest = new LinkedHashMap<>();
      records.forEach(grant -> latest.put(grant.program(), grant));
      return List.copyOf(latest.values());
    }

    private List<Grant> from(long offset) {
      return List.copyOf(records.subList((int) offset, records.size()));
    }
  }

  @Property(tries = 2_000, seed = "20261204")
  @Label("a program that requests turns without end receives no more than its budget")
  void budgetIsNotExceeded(
      @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 0, max = 26) Integer> steps,
      @ForAll @IntRange(min = 1, max = 12) int budgetTurns) {
    Store store = new Store();
    List<AllowancePartition> holders = new ArrayList<>();
    for (int i = 0; i < HOLDERS; i++) {
      holders.add(startHolder(store, i, 0));
    }
    long budget = budgetTurns * TURN_TOKENS;
    long delivered = 0;
    int starts = HOLDERS;
    for (int step : steps) {
      int index = step % HOLDERS;
      AllowancePartition holder = holders.get(index);
      switch (step / HOLDERS) {
        case 0, 1 -> delivered += runTurn(holder, store, budget);
        case 2 -> append(holder.nextAppend(0), holder, store, true);
        case 3 -> append(holder.nextAppend(0), holder, store, false);
        case 4 -> holder.applyRecords(store.from(holder.end()), store.records.size(), 0);
        case 5 ->
            delivered +=
                holder.reserveFromOwnSlices("p", TURN_TOKENS, 0) == ReservationResult.GRANTED
                    ? TURN_TOKENS
                    : 0;
        case 6 -> append(holder.nextRelease(0, 0), holder, store, true);
        case 7 -> append(holder.nextRelease(0, 0), holder, store, false);
        default -> holders.set(index, startHolder(store, index, starts++));
      }
    }

    assertTrue(
        delivered <= budget,
        "delivered " + delivered + " tokens of a budget of " + budget + " in steps " + steps);
  }

  // Reads the latest records before it decides on an unknown program, as the daemon does.
  private static long runTurn(AllowancePartition holder, Store store, long budget) {
    if (!holder.isKnown("p")) {
      holder.applyRecords(store.from(holder.end()), store.records.size(), 0);
    }
    return holder.reserve("p", budget, TURN_TOKENS, 0) == ReservationResult.GRANTED
        ? TURN_TOKENS
        : 0;
  }

  private static void append(
      Optional<AllowancePartition.Append> next,
      AllowancePartition holder,
      Store store,
      boolean responseReceived) {
    next.ifPresent(
        append -> {
          boolean appended = store.append(append);
          if (appended && responseReceived) {
            holder.appendSucceeded(append, store.records.size(), 0);
          } else {
            holder.applyRecords(store.from(holder.end()), store.records.size(), 0);
          }
        });
  }

  private static AllowancePartition startHolder(Store store, int index, int start) {
    AllowancePartition holder = new AllowancePartition("vm-" + index + "/" + start);
    holder.load(store.latestPerProgram(), store.records.size(), 0);
    return holder;
  }
}
