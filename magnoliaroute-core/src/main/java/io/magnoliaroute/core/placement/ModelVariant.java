package io.magnoliaroute.core.placement;

import java.util.Comparator;
import java.util.Objects;

/**
 * Weights that an engine can load.
 *
 * @param model the model
 * @param adapter the adapter on top of it, or the empty string
 * @param version the version of the weights
 */
public record ModelVariant(String model, String adapter, String version)
    implements Comparable<ModelVariant> {

  private static final Comparator<ModelVariant> ORDER =
      Comparator.comparing(ModelVariant::model)
          .thenComparing(ModelVariant::adapter)
          .thenComparing(ModelVariant::version);

  /** Rejects missing parts. */
  public ModelVariant {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(version, "version");
  }

  @Override
  public int compareTo(ModelVariant other) {
    return ORDER.compare(this, other);
  }
}
