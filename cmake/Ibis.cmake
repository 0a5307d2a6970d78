# Helpers that keep one CMake target per library folder. Sources are globbed, so a new file in a folder needs no
# edit of its CMakeLists.txt.

set(IBIS_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror)

# ibis_library(Name [DEPS targets...]): the library of Source/Core/<Name>, with alias Ibis::<Name>.
function(ibis_library name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp *.h)
  list(FILTER sources EXCLUDE REGEX "^$")
  set(has_cpp ${sources})
  list(FILTER has_cpp INCLUDE REGEX "\\.cpp$")
  if(has_cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/Source/Core)
    target_compile_options(${name} PRIVATE ${IBIS_WARNINGS})
    target_link_libraries(${name} PUBLIC ${ARG_DEPS} tl::expected Threads::Threads)
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE ${PROJECT_SOURCE_DIR}/Source/Core)
    target_link_libraries(${name} INTERFACE ${ARG_DEPS} tl::expected Threads::Threads)
  endif()
  add_library(Ibis::${name} ALIAS ${name})
endfunction()

# ibis_program(name [DEPS targets...]): the program of the current folder.
function(ibis_program name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp *.h)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/Source/Core ${PROJECT_SOURCE_DIR}/Source)
  target_compile_options(${name} PRIVATE ${IBIS_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS})
endfunction()

# ibis_known_red(Library result): arguments that make the tests of the library pass over those that KNOWN-RED.txt lists.
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
function(ibis_known_red library result)
  file(STRINGS ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt entries REGEX "^- Test: \".*\" \\(Source/UnitTests/${library}/")
  set(arguments "")
  foreach(entry IN LISTS entries)
    string(REGEX REPLACE "^- Test: \"(.*)\" \\(Source/.*$" "\\1" name "${entry}")
    string(REPLACE "," "\\," name "${name}")
    list(APPEND arguments "~${name}")
  endforeach()
  set(${result} "${arguments}" PARENT_SCOPE)
endfunction()

# ibis_tests(Library [DEPS targets...] [APART tags...]): the tests of Source/UnitTests/<Library>, one executable. Those with
# a tag of APART have a ctest entry of their own, so that they run beside the others.
function(ibis_tests library)
  cmake_parse_arguments(ARG "" "" "DEPS;APART" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp *.h)
  add_executable(${library}Tests ${sources})
  target_include_directories(${library}Tests PRIVATE ${PROJECT_SOURCE_DIR}/Source)
  target_compile_options(${library}Tests PRIVATE ${IBIS_WARNINGS})
  target_link_libraries(${library}Tests PRIVATE ${ARG_DEPS} TestMain Catch2::Catch2 rapidcheck)
  ibis_known_red(${library} passed_over)
  set(names ${library})
  set(others "")
  foreach(tag IN LISTS ARG_APART)
    add_test(NAME ${library}.${tag} COMMAND ${library}Tests "[${tag}]" ${passed_over})
    list(APPEND names ${library}.${tag})
    list(APPEND others "~[${tag}]")
  endforeach()
  add_test(NAME ${library} COMMAND ${library}Tests ${others} ${passed_over})
  # A fixed seed gives the same verdict on each run; the long schedules use other seeds on purpose.
  set_tests_properties(${names} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
endfunction()
