package io.magnoliaroute.core.settings;

import java.util.List;
import java.util.Map;

/** A node of a YAML document with its line number. */
sealed interface YamlNode {

  /** Returns the line number of the node, from 1. */
  int line();

  /** Returns the name of the type as shown in findings. */
  String typeName();

  /** A mapping, with its entries in document order. */
  record Mapping(int line, Map<String, Entry> entries) implements YamlNode {
    @Override
    public String typeName() {
      return "mapping";
    }
  }

  /** The value of a key, with the line number of the key. */
  record Entry(int line, YamlNode value) {}

  /** A list. */
  record Sequence(int line, List<YamlNode> items) implements YamlNode {
    @Override
    public String typeName() {
      return "list";
    }
  }

  /** A single value. */
  record Scalar(int line, ScalarType type, String text) implements YamlNode {
    @Override
    public String typeName() {
      return type.typeName();
    }
  }

  /** The type of a single value. */
  enum ScalarType {
    TEXT("text"),
    INTEGER("integer"),
    DECIMAL("decimal number"),
    BOOLEAN("boolean"),
    NULL("nothing");

    private final String typeName;

    ScalarType(String typeName) {
      this.typeName = typeName;
    }

    String typeName() {
      return typeName;
    }
  }
}
