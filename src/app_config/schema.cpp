#include "app_config/schema.h"

#include <vector>

#include "app_config/keys.h"
#include "toml_document/writer.h"

namespace fernward::app_config {
namespace {

using nlohmann::ordered_json;
using toml_document::ChoiceNames;
using toml_document::SpecialValue;
using toml_document::Table;
using toml_document::Unit;

const char* unit_pattern(Unit unit) {
  switch (unit) {
    case Unit::Time: return "^[0-9.eE+-]+ *(us|ms|s|min|h|d)$|^0$";
    case Unit::Bytes: return "^[0-9.eE+-]+ *(B|kB|MB|GB|KiB|MiB|GiB)$|^0$";
    case Unit::Mebibytes: return "^[0-9.eE+-]+ *(MiB|GiB)$|^0$";
    case Unit::Rate: return "^[0-9.eE+-]+ */(s|min|h)$|^0$";
    case Unit::Share: return "^[0-9.eE+-]+ *%$|^0$";
    case Unit::ShareRate: return "^[0-9.eE+-]+ *%/(s|min|h)$|^0$";
    default: return "";
  }
}

class SchemaVisitor : public toml_document::Visitor {
 public:
  explicit SchemaVisitor(const toml_document::Names& names) : names_(names) {
    open_objects_.push_back(empty_object());
  }
  ordered_json document() const { return open_objects_.front(); }

  void amount(const char* member, double& value, Unit unit, const char* doc,
              SpecialValue special_value) override {
    ordered_json property;
    if (unit == Unit::Number) {
      property = {{"type", "number"}, {"minimum", 0}};
    } else if (unit == Unit::Share) {
      property["anyOf"] = {{{"type", "number"}, {"minimum", 0}},
                           {{"type", "string"}, {"pattern", unit_pattern(unit)}}};
    } else {
      property["anyOf"] = {{{"const", 0}}, {{"type", "string"}, {"pattern", unit_pattern(unit)}}};
    }
    if (special_value.text != nullptr) property["anyOf"].push_back({{"const", special_value.text}});
    if (unit == Unit::Number) {
      property["default"] = value;
    } else {
      property["default"] = toml_document::format_quantity(unit, value);
    }
    add_property(member, std::move(property), doc);
  }
  void count(const char* member, std::uint32_t& value, const char* doc, Unit unit) override {
    if (unit != Unit::Number) {
      ordered_json property;
      property["anyOf"] = {{{"const", 0}}, {{"type", "string"}, {"pattern", unit_pattern(unit)}}};
      property["default"] = toml_document::format_quantity(unit, value);
      return add_property(member, std::move(property), doc);
    }
    add_property(member, {{"type", "integer"}, {"minimum", 0}, {"maximum", 4294967295u}, {"default", value}},
                 doc);
  }
  void seed(const char* member, std::uint64_t& value, const char* doc) override {
    add_property(member, {{"type", "integer"}, {"minimum", 0}, {"default", value}}, doc);
  }
  void text(const char* member, std::string& value, bool required, const char* doc) override {
    ordered_json property = {{"type", "string"}};
    if (!value.empty()) property["default"] = value;
    add_property(member, std::move(property), doc, required);
  }
  void texts(const char* member, std::vector<std::string>& values, const char* doc) override {
    ordered_json property = {{"type", "array"}, {"items", {{"type", "string"}}}};
    if (!values.empty()) property["default"] = values;
    add_property(member, std::move(property), doc);
  }
  void flag(const char* member, bool& value, const char* doc) override {
    add_property(member, {{"type", "boolean"}, {"default", value}}, doc);
  }
  void choice(const char* member, std::size_t& value, ChoiceNames choice_names, bool required,
              const char* doc) override {
    ordered_json property = {{"enum", std::vector<std::string>(choice_names.begin(), choice_names.end())}};
    if (!required) property["default"] = choice_names[value];
    add_property(member, std::move(property), doc, required);
  }
  void choices(const char* member, std::vector<std::size_t>&, ChoiceNames choice_names,
               const char* doc) override {
    add_property(member,
                 {{"type", "array"},
                  {"items", {{"enum", std::vector<std::string>(choice_names.begin(), choice_names.end())}}}},
                 doc);
  }
  void ref(const char* member, std::uint32_t&, Table table, bool required, const char* doc) override {
    add_property(member, {{"type", "string"}}, std::string(doc) + " (" + names_.reference_text(table) + ")",
                 required);
  }
  void refs(const char* member, std::vector<std::uint32_t>&, Table table, const char* doc) override {
    add_property(member, {{"type", "array"}, {"items", {{"type", "string"}}}},
                 std::string(doc) + " (each " + names_.reference_text(table) + ")");
  }
  bool present(const char*, bool) override { return omit_default_ = true; }
  void enter(const char* member, const char* doc) override { push_object(member, doc, Kind::Table); }
  void leave() override {
    ordered_json property = std::move(open_objects_.back());
    const Frame frame = std::move(frames_.back());
    open_objects_.pop_back();
    frames_.pop_back();
    if (frame.kind == Kind::List) property = {{"type", "array"}, {"items", std::move(property)}};
    if (frame.kind == Kind::Named)
      property = {{"type", "object"}, {"additionalProperties", std::move(property)}};
    add_property(frame.member.c_str(), std::move(property), frame.doc);
  }
  std::size_t list(const char* member, std::size_t, const char* doc) override {
    next_frame_ = {member, doc, Kind::List};
    return 1;
  }
  void item(const char*, std::size_t, const std::string&) override {
    push_object(next_frame_.member.c_str(), next_frame_.doc, next_frame_.kind);
  }
  std::vector<std::string> named_items(const char* member, std::vector<std::string>,
                                       const char* doc) override {
    next_frame_ = {member, doc, Kind::Named};
    return {"NAME"};
  }

 private:
  enum class Kind { Table, List, Named };
  struct Frame {
    std::string member, doc;
    Kind kind = Kind::Table;
  };
  static ordered_json empty_object() {
    return {{"type", "object"}, {"properties", ordered_json::object()}, {"additionalProperties", false}};
  }
  void push_object(const char* member, const std::string& doc, Kind kind) {
    frames_.push_back({member, doc, kind});
    open_objects_.push_back(empty_object());
  }
  void add_property(const char* member, ordered_json property, const std::string& doc,
                    bool required = false) {
    if (std::exchange(omit_default_, false)) property.erase("default");
    property["description"] = doc;
    const std::string key = toml_document::key_of(member);
    open_objects_.back()["properties"][key] = std::move(property);
    if (required) open_objects_.back()["required"].push_back(key);
  }

  const toml_document::Names& names_;
  std::vector<ordered_json> open_objects_;
  std::vector<Frame> frames_;
  Frame next_frame_;
  bool omit_default_ = false;
};

} // namespace

ordered_json json_schema() {
  AppConfig app;
  const AppConfigNames names(app);
  SchemaVisitor visitor(names);
  describe(visitor, app);
  const ordered_json config_schema = visitor.document();
  // A profile has the same keys, none of them required.
  ordered_json properties = config_schema["properties"];
  ordered_json document = {{"$schema", "https://json-schema.org/draft/2020-12/schema"},
                           {"title", "fernward: one application's router"},
                           {"type", "object"}};
  ordered_json profile = {
      {"type", "object"}, {"properties", ordered_json::object()}, {"additionalProperties", false}};
  for (const auto& [key, value] : properties.items())
    profile["properties"][key] = {{"$ref", "#/$defs/" + key}};
  document["$defs"] = properties;
  document["properties"] = profile["properties"];
  document["properties"]["include"] = {
      {"anyOf", {{{"type", "string"}}, {{"type", "array"}, {"items", {{"type", "string"}}}}}},
      {"description", "files that supply the keys that this one omits, the last one first"}};
  document["properties"]["profile"] = {{"type", "string"}, {"description", "the active profile"}};
  document["properties"]["profiles"] = {
      {"type", "object"},
      {"additionalProperties", profile},
      {"description", "keys with precedence after this file's and before its includes'"}};
  document["additionalProperties"] = false;
  return document;
}

std::string markdown_reference() {
  AppConfig app;
  const AppConfigNames names(app);
  const toml_document::ReferenceRow top =
      toml_document::build_reference(names, [&](toml_document::Visitor& v) { describe(v, app); });
  std::string out =
      "### Top of the file\n\n| key | written as | default | meaning |\n| --- | --- | --- | --- |\n";
  out +=
      "| `include` | text, or list of texts |  | files that supply the keys that this one omits, the last "
      "one "
      "first |\n";
  out +=
      "| `profile` | text |  | the active profile: `[profiles.NAME]`, of this file or of one it "
      "includes |\n";
  out += toml_document::top_level_rows(top);
  toml_document::append_sections(top, "", out);
  return out;
}

const std::vector<DiagnosticCode>& diagnostic_codes() {
  static const std::vector<DiagnosticCode> codes{
      {"syntax", "not valid TOML, such as a truncated file, an open quote or a duplicate key"},
      {"unreadable", "the file can't be read, or is over 1 MiB"},
      {"include", "an included file can't be read, or includes form a cycle"},
      {"unknown-key", "not a key of that table; the closest key is suggested"},
      {"unknown-name", "a class, tenant, zone, kind or profile that is not defined"},
      {"missing", "a required key is missing"},
      {"type", "a value of the wrong type, such as a number where text belongs"},
      {"unit", "a quantity without its unit, or with one of another kind"},
      {"value", "a value out of range"},
      {"word", "not one of the allowed words"},
      {"name", "a name with characters that a header or a log line can't carry"},
      {"twice", "the same name or address is used twice"},
      {"address", "not an address of the form 10.0.0.4:7070"},
      {"no-source", "no source of nodes"},
      {"two-sources", "nodes come from two sources"},
      {"no-classes", "no class of requests"},
      {"no-ledger", "the nodes are listed and the ledger is not among them"},
      {"zone-empty", "warning: no node is in the router's own zone"},
      {"aim-past-give-up", "the aim is longer than the client timeout"},
      {"give-up-too-short", "the client timeout is not longer than the round trip to the farthest node"},
      {"attempts-do-not-fit",
       "the attempts take longer than the client timeout (warning if `retries` is not given)"},
      {"window-missing",
       "a keyed class with retries but without a window (warning if `retries` is not given)"},
      {"window-unused", "warning: a window in a class that is not keyed"},
      {"retry-past-window", "retries would be sent after the nodes have dropped the key, and run twice"},
      {"retry-for-unkeyed", "`retry_for` in a class that is not keyed"},
      {"retry-unsafe", "retries of a class that must not be repeated"},
      {"retries-past-most", "more retries than `attempts.most` allows"},
      {"shares", "the tenants' shares add up to more than 100%"},
      {"read-as-write", "GET is mapped to a class for writes, which go to the ledger"},
      {"map-hidden", "warning: an entry of the map that never matches"},
      {"timeout-past-give-up", "warning: a timeout that is limited to the class's give_up"},
      {"tables", "the configured tables exceed the descriptors or the memory"},
      {"ledger-only", "all or nearly all requests would go to the ledger; the share is given"},
      {"ledger-much", "warning: over half of them would"},
      {"ledger-overrun", "the load on the ledger would exceed its capacity"},
      {"listen-path", "a unix socket can't be created there, or its path is over 107 bytes"},
      {"listen-any", "warning: port 0"},
      {"listen-elsewhere", "not an address of this host (not with `--elsewhere`)"},
      {"listen-taken", "another process uses the address (not with `--elsewhere`)"},
      {"listen-refused", "the system rejects the address (not with `--elsewhere`)"},
      {"folder", "a folder does not exist or is not writable (not with `--elsewhere`)"},
      {"no-file-yet", "warning: the file of nodes does not exist (not with `--elsewhere`)"},
      {"descriptors", "the system allows fewer descriptors (not with `--elsewhere`)"},
      {"secret-readable",
       "a variable that looks like a secret, in a file that other users can read (not with `--elsewhere`)"},
      {"more", "more than 200 errors; the number of the others is given"}};
  return codes;
}

std::string markdown_code_reference() {
  std::string out = "| code | meaning |\n| --- | --- |\n";
  for (const DiagnosticCode& code : diagnostic_codes())
    out += std::string("| `") + code.code + "` | " + code.meaning + " |\n";
  return out;
}

} // namespace fernward::app_config
