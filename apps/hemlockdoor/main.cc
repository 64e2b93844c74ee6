#include <cstdio>

int main() {
  std::puts("hemlockdoor " HEMLOCKDOOR_VERSION);
  return 0;
}
