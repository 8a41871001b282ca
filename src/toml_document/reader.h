// Reads described data from TOML tables. All errors are collected; an invalid value leaves the member
// unchanged.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "toml_document/document.h"
#include "toml_document/visitor.h"

namespace fernward::toml_document {

class Reader : public Visitor {
 public:
  // `sources`: the top-level tables; the first that contains a key provides its value. `names`, `errors` and
  // `positions` must outlive the reader. `non_member_keys`: top-level keys that are not members.
  Reader(std::vector<SourceTable> sources, const Names& names, Diagnostics& errors, Positions& positions,
         std::set<std::string> non_member_keys);
  std::set<std::string> finish(); // call after the description; returns the invalid members

  void amount(const char* member, double& value, Unit unit, const char* doc,
              SpecialValue special_value) override;
  void count(const char* member, std::uint32_t& value, const char* doc, Unit unit) override;
  void seed(const char* member, std::uint64_t& value, const char* doc) override;
  void text(const char* member, std::string& value, bool required, const char* doc) override;
  void texts(const char* member, std::vector<std::string>& values, const char* doc) override;
  void flag(const char* member, bool& value, const char* doc) override;
  void choice(const char* member, std::size_t& value, ChoiceNames choice_names, bool required,
              const char* doc) override;
  void choices(const char* member, std::vector<std::size_t>& values, ChoiceNames choice_names,
               const char* doc) override;
  void ref(const char* member, std::uint32_t& value, Table table, bool required, const char* doc) override;
  void refs(const char* member, std::vector<std::uint32_t>& values, Table table, const char* doc) override;
  bool present(const char* member, bool is_present) override;
  void enter(const char* member, const char* doc) override;
  void leave() override;
  std::size_t list(const char* member, std::size_t size, const char* doc) override;
  void item(const char* member, std::size_t index, const std::string& name) override;
  std::vector<std::string> named_items(const char* member, std::vector<std::string> names,
                                       const char* doc) override;

 private:
  struct OpenTable {
    std::vector<SourceTable> sources; // the first that contains a key provides its value
    std::string path;                 // member path of the table
    std::set<std::string> known_keys;
  };
  struct FoundValue {
    const toml::node* node = nullptr;
    const Layer* layer = nullptr;
  };

  std::string member_path(const char* member) const;
  void add_error(Position position, std::string key, const char* code, std::string failure);
  void add_error(const FoundValue& found, const std::string& member, ParseError failure);
  void add_missing_error(const char* member);
  void record_position(const std::string& member, const FoundValue& found);
  FoundValue find(const char* member);
  OpenTable open_table(const std::vector<SourceTable>& sources, const std::string& path,
                       const std::string& key);
  std::function<std::optional<std::uint32_t>(const toml::node&, ParseError&)> reference_parser(Table table);
  bool table_unreadable(Table table) const;
  template <typename T, typename F>
  bool read_value(const char* member, T& value, F parse);
  template <typename T, typename F>
  void read_list(const char* member, std::vector<T>& values, F parse);

  const Names& names_;
  Diagnostics& errors_;
  Positions& positions_;
  std::vector<OpenTable> open_tables_;
  std::set<std::string> invalid_members_;
  std::set<std::string> named_table_members_; // members that are tables of named tables
};

} // namespace fernward::toml_document
