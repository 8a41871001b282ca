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
  Reader(std::vector<Source> sources, const Names& names, Faults& faults, Places& places,
         std::set<std::string> apart);
  std::set<std::string> close(); // call after the description; returns the invalid members

  void amount(const char* member, double& value, Unit unit, const char* doc, Word word) override;
  void count(const char* member, std::uint32_t& value, const char* doc, Unit unit) override;
  void seed(const char* member, std::uint64_t& value, const char* doc) override;
  void text(const char* member, std::string& value, bool needed, const char* doc) override;
  void texts(const char* member, std::vector<std::string>& values, const char* doc) override;
  void flag(const char* member, bool& value, const char* doc) override;
  void choice(const char* member, std::size_t& value, Words words, bool needed, const char* doc) override;
  void choices(const char* member, std::vector<std::size_t>& values, Words words, const char* doc) override;
  void ref(const char* member, std::uint32_t& value, Table table, bool needed, const char* doc) override;
  void refs(const char* member, std::vector<std::uint32_t>& values, Table table, const char* doc) override;
  bool present(const char* member, bool now) override;
  void enter(const char* member, const char* doc) override;
  void leave() override;
  std::size_t list(const char* member, std::size_t size, const char* doc) override;
  void item(const char* member, std::size_t index, const std::string& name) override;
  std::vector<std::string> named(const char* member, std::vector<std::string> names,
                                 const char* doc) override;

 private:
  struct Part {
    std::vector<Source> tables; // the first that contains a key provides its value
    std::string path;           // member path of the table
    std::set<std::string> known;
  };
  struct Found {
    const toml::node* node = nullptr;
    const Layer* layer = nullptr;
  };

  std::string path(const char* member) const;
  void fault(Position at, std::string key, const char* code, std::string why);
  void fault(const Found& found, const std::string& member, Why why);
  void missing(const char* member);
  void note(const std::string& member, const Found& found);
  Found find(const char* member);
  Part part_of(const std::vector<Source>& sources, const std::string& path, const std::string& key);
  std::function<std::optional<std::uint32_t>(const toml::node&, Why&)> reference(Table table);
  bool unreadable(Table table) const;
  template <typename T, typename F>
  bool leaf(const char* member, T& value, F take);
  template <typename T, typename F>
  void many(const char* member, std::vector<T>& values, F take);

  const Names& names_;
  Faults& faults_;
  Places& places_;
  std::vector<Part> parts_;
  std::set<std::string> broken_;
  std::set<std::string> tables_; // members that are tables of named tables
};

} // namespace fernward::toml_document
