package io.magnoliaroute.core.allowance;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against exceeded budgets when holders change, crash and restart, and when responses of the
 * store are lost.
 */
class AllowanceSequencesTest {

  private static final long TURN = 100;
  private static final int HOLDERS = 3;

  /** The records of one partition, with conditional appends. */
  private static final class Store {
    private final List<Grant> records = new ArrayList<>();

    private boolean append(AllowancePartition.Append append) {
      if (append.expectedEnd() != records.size()) {
        return false;
      }
      records.addAll(append.grants());
      return true;
    }

    private List<Grant> newest() {
      Map<String, Grant> newest = new LinkedHashMap<>();
      records.forEach(grant -> newest.put(grant.program(), grant));
      return List.copyOf(newest.values());
    }

    private List<Grant> from(long offset) {
      return List.copyOf(records.subList((int) offset, records.size()));
    }
  }

  @Property(tries = 2_000, seed = "20261204")
  @Label("a program that never stops asking gets no more than its budget")
  void budgetHolds(
      @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 0, max = 20) Integer> steps,
      @ForAll @IntRange(min = 1, max = 12) int budgetTurns) {
    Store store = new Store();
    List<AllowancePartition> holders = new ArrayList<>();
    for (int i = 0; i < HOLDERS; i++) {
      holders.add(started(store, i, 0));
    }
    long budget = budgetTurns * TURN;
    long delivered = 0;
    int starts = HOLDERS;
    for (int step : steps) {
      int index = step % HOLDERS;
      AllowancePartition holder = holders.get(index);
      switch (step / HOLDERS) {
        case 0, 1 -> delivered += turn(holder, store, budget);
        case 2 -> append(holder, store, true);
        case 3 -> append(holder, store, false);
        case 4 -> holder.applyRecords(store.from(holder.end()), store.records.size(), 0);
        case 5 ->
            delivered +=
                holder.reserveFromOwnSlices("p", TURN, 0) == ReservationResult.GRANTED ? TURN : 0;
        default -> holders.set(index, started(store, index, starts++));
      }
    }

    assertTrue(
        delivered <= budget, "delivered " + delivered + " of " + budget + " in steps " + steps);
  }

  // Like the daemon, reads the latest records before it decides on an unknown program.
  private static long turn(AllowancePartition holder, Store store, long budget) {
    if (!holder.isKnown("p")) {
      holder.applyRecords(store.from(holder.end()), store.records.size(), 0);
    }
    return holder.reserve("p", budget, TURN, 0) == ReservationResult.GRANTED ? TURN : 0;
  }

  private static void append(AllowancePartition holder, Store store, boolean answered) {
    holder
        .nextAppend(0)
        .ifPresent(
            append -> {
              boolean appended = store.append(append);
              if (appended && answered) {
                holder.appendSucceeded(append, store.records.size(), 0);
              } else {
                holder.applyRecords(store.from(holder.end()), store.records.size(), 0);
              }
            });
  }

  private static AllowancePartition started(Store store, int index, int start) {
    AllowancePartition holder = new AllowancePartition("vm-" + index + "/" + start);
    holder.load(store.newest(), store.records.size(), 0);
    return holder;
  }
}
