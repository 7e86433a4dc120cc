#include "base/json_footprint.hpp"

#include <CppUTest/TestHarness.h>

#include <malloc.h>

#include <random>

#include "base/json.hpp"

using namespace tulip;

namespace {

std::size_t allocatedBytes = 0;

void* countedAlloc(std::size_t size) {
  void* made = std::malloc(size);
  allocatedBytes += malloc_usable_size(made) + sizeof(std::size_t);
  return made;
}

void countedFree(void* gone) {
  if (gone) allocatedBytes -= malloc_usable_size(gone) + sizeof(std::size_t);
  std::free(gone);
}

/// What the tree of a text takes, with the allocator's own bytes.
std::size_t treeBytes(const std::string& text) {
  json_set_alloc_funcs(countedAlloc, countedFree);
  allocatedBytes = 0;
  Json root = parseJson(text);
  const bool read = root != nullptr;
  const auto bytes = allocatedBytes;
  root.reset();
  json_set_alloc_funcs(std::malloc, std::free);
  CHECK(read);
  return bytes;
}

std::string repeated(const std::string& element, int count) {
  std::string text = "[" + element;
  for (int i = 1; i < count; ++i) text += "," + element;
  return text + "]";
}

std::string randomText(std::mt19937& random, int depth) {
  const auto pick = random() % (depth > 0 ? 6 : 4);
  std::string text;
  switch (pick) {
    case 0:
      return std::to_string(random());
    case 1:
      return "\"" + std::string(random() % 40, 'x') + "\\\"\"";
    case 2:
      return "true";
    case 3:
      return "1.5";
    case 4:
      for (unsigned i = random() % 12; i > 0; --i) text += randomText(random, depth - 1) + (i > 1 ? "," : "");
      return "[" + text + "]";
    default:
      for (unsigned i = random() % 12; i > 0; --i)
        text += "\"k" + std::to_string(i) + "\":" + randomText(random, depth - 1) + (i > 1 ? "," : "");
      return "{" + text + "}";
  }
}

}  // namespace

TEST_GROUP(json_footprint){};

TEST(json_footprint, is_no_less_than_what_the_tree_takes) {
  for (const std::string element : {"{}", "[]", "1", "\"\"", "\"a long text of a few dozen characters\"", "null", "1.5",
                                    "{\"a\":1}", "{\"a\":{},\"b\":[]}", "[[]]", "[{}]"}) {
    const auto text = repeated(element, 2000);
    CHECK_TEXT(jsonFootprint(text) >= treeBytes(text), element.c_str());
  }
  std::mt19937 random(20261206);
  for (int i = 0; i < 300; ++i) {
    const auto text = "[" + randomText(random, 5) + "]";
    CHECK_TEXT(jsonFootprint(text) >= treeBytes(text), text.c_str());
  }
}

TEST(json_footprint, counts_nothing_inside_texts) {
  const std::string text = "\"" + std::string(1000, '{') + "\\\"" + std::string(1000, ',') + "\"";
  CHECK(jsonFootprint(text) < 2 * text.size());
}
