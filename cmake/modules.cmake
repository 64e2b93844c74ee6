# Targets are made from folders, so that a new file needs no edit here.

# Adds the precompiled headers of the named kind: json or qt.
function(hemlockdoor_precompile target kind)
  if(NOT HEMLOCKDOOR_PCH OR NOT kind)
    return()
  endif()
  set(headers <functional> <map> <memory> <nlohmann/json.hpp> <optional>
    <string> <variant> <vector>)
  if(kind STREQUAL qt)
    list(APPEND headers <QObject> <QTcpSocket> <QTimer> <QNetworkReply>)
  endif()
  target_precompile_headers(${target} PRIVATE ${headers})
endfunction()

# hemlockdoor_module(NAME [FOLDER folder] [DEPENDS modules...] [LIBRARIES
#   libs...] [PCH kind] [QT]): static library of FOLDER (modules/NAME) and its
#   unit test program.
function(hemlockdoor_module name)
  cmake_parse_arguments(arg "QT" "PCH;FOLDER" "DEPENDS;LIBRARIES" ${ARGN})
  if(NOT arg_FOLDER)
    set(arg_FOLDER modules/${name})
  endif()
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${arg_FOLDER}/*.cc)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
  list(FILTER tests INCLUDE REGEX "_test\\.cc$")
  list(TRANSFORM arg_DEPENDS PREPEND hemlockdoor_)
  set(libraries hemlockdoor_options ${arg_DEPENDS} ${arg_LIBRARIES})
  if(arg_QT)
    list(APPEND libraries Qt6::Core Qt6::Network)
  endif()
  if(sources)
    add_library(hemlockdoor_${name} STATIC ${sources})
    target_link_libraries(hemlockdoor_${name} PUBLIC ${libraries})
    hemlockdoor_precompile(hemlockdoor_${name} "${arg_PCH}")
  else()
    add_library(hemlockdoor_${name} INTERFACE)
    target_link_libraries(hemlockdoor_${name} INTERFACE ${libraries})
  endif()
  if(tests AND HEMLOCKDOOR_TESTS)
    set(main tests/support/plain_test_main.cc)
    if(arg_QT)
      set(main tests/support/qt_test_main.cc)
    endif()
    add_executable(${name}_test ${tests} ${main})
    target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${name}_test PRIVATE hemlockdoor_${name}
      Boost::unit_test_framework)
    hemlockdoor_precompile(${name}_test "${arg_PCH}")
    add_test(NAME ${name}_test COMMAND ${name}_test)
    set_tests_properties(${name}_test PROPERTIES TIMEOUT 300)
  endif()
endfunction()

# hemlockdoor_program(NAME FOLDER modules...): one program of all sources in
# FOLDER.
function(hemlockdoor_program name folder)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${folder}/*.cc)
  if(NOT sources)
    return()
  endif()
  set(libraries ${ARGN})
  list(TRANSFORM libraries PREPEND hemlockdoor_)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${libraries} Qt6::Core Qt6::Network)
  hemlockdoor_precompile(${name} qt)
endfunction()

# Disables a test program that KNOWN-RED.txt lists as a whole
# ("test: PROGRAM *"). Boost.Test fails when a filter leaves no case.
function(hemlockdoor_disable_known_red program)
  if(NOT EXISTS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
    return()
  endif()
  file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt lines
    REGEX "^test: ${program} [*]$")
  if(lines)
    set_tests_properties(${program} PROPERTIES DISABLED TRUE)
  endif()
endfunction()

# Sets RESULT to the environment entry that leaves out the cases of one test
# program that KNOWN-RED.txt lists ("test: PROGRAM SUITE/CASE"), or to nothing.
function(hemlockdoor_known_red_filter program result)
  set(${result} "" PARENT_SCOPE)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
    ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
  if(NOT EXISTS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
    return()
  endif()
  file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt lines
    REGEX "^test: ${program} ")
  if(NOT lines)
    return()
  endif()
  list(TRANSFORM lines REPLACE "^test: ${program} " "!")
  list(JOIN lines ":" filter)
  set(${result} "BOOST_TEST_RUN_FILTERS=${filter}" PARENT_SCOPE)
endfunction()

# hemlockdoor_process_tests(FOLDER modules...): one test program for each
# FOLDER/*_test.cc; FOLDER/support holds what they share. They run the built
# programs, whose folder they get as HEMLOCKDOOR_BIN.
function(hemlockdoor_process_tests folder)
  file(GLOB tests CONFIGURE_DEPENDS ${folder}/*_test.cc)
  file(GLOB support CONFIGURE_DEPENDS ${folder}/support/*.cc)
  list(FILTER support EXCLUDE REGEX "_test_main\\.cc$")
  set(libraries ${ARGN})
  list(TRANSFORM libraries PREPEND hemlockdoor_)
  if(NOT tests)
    return()
  endif()
  add_library(hemlockdoor_test_support STATIC ${support}
    ${folder}/support/qt_test_main.cc)
  target_compile_definitions(hemlockdoor_test_support PUBLIC
    BOOST_TEST_DYN_LINK)
  target_link_libraries(hemlockdoor_test_support PUBLIC ${libraries} Qt6::Core
    Qt6::Network Boost::unit_test_framework)
  hemlockdoor_precompile(hemlockdoor_test_support qt)
  foreach(test ${tests})
    get_filename_component(name ${test} NAME_WE)
    add_executable(${name} ${test})
    target_link_libraries(${name} PRIVATE hemlockdoor_test_support)
    foreach(program hemlockdoor upstream_standin store_standin)
      if(TARGET ${program})
        add_dependencies(${name} ${program})
      endif()
    endforeach()
    add_test(NAME ${name} COMMAND ${name})
    hemlockdoor_known_red_filter(${name} filter)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300
      ENVIRONMENT "HEMLOCKDOOR_BIN=${CMAKE_BINARY_DIR};${filter}")
    hemlockdoor_disable_known_red(${name})
  endforeach()
endfunction()

# hemlockdoor_test_program(NAME FOLDER modules...): one test program of all
# sources in FOLDER.
function(hemlockdoor_test_program name folder)
  hemlockdoor_program(${name} ${folder} ${ARGN})
  target_sources(${name} PRIVATE tests/support/plain_test_main.cc)
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name})
  hemlockdoor_known_red_filter(${name} filter)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "${filter}")
endfunction()

# hemlockdoor_soak_tests(FOLDER): one test program for each FOLDER/*_test.cc; the
# other sources in FOLDER and the stand-ins in review/support are shared. They
# run the built programs, whose folder they get as HEMLOCKDOOR_BIN.
function(hemlockdoor_soak_tests folder)
  file(GLOB tests CONFIGURE_DEPENDS ${folder}/*_test.cc)
  file(GLOB support CONFIGURE_DEPENDS ${folder}/*.cc review/support/*.cc)
  list(FILTER support EXCLUDE REGEX "_test\\.cc$")
  add_library(hemlockdoor_soak_support STATIC ${support}
    tests/support/qt_test_main.cc)
  target_compile_definitions(hemlockdoor_soak_support PUBLIC
    BOOST_TEST_DYN_LINK)
  target_link_libraries(hemlockdoor_soak_support PUBLIC hemlockdoor_options
    Qt6::Core Qt6::Network Boost::unit_test_framework)
  hemlockdoor_precompile(hemlockdoor_soak_support qt)
  foreach(test ${tests})
    get_filename_component(name ${test} NAME_WE)
    add_executable(${name} ${test})
    target_link_libraries(${name} PRIVATE hemlockdoor_soak_support)
    add_dependencies(${name} hemlockdoor)
    add_test(NAME ${name} COMMAND ${name})
    hemlockdoor_known_red_filter(${name} filter)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300
      ENVIRONMENT "HEMLOCKDOOR_BIN=${CMAKE_BINARY_DIR};${filter}")
    hemlockdoor_disable_known_red(${name})
  endforeach()
endfunction()

# hemlockdoor_measures(FOLDER): programs that print figures from running
# processes; they use the test support but are no tests.
function(hemlockdoor_measures folder)
  file(GLOB measures CONFIGURE_DEPENDS ${folder}/*.cc)
  foreach(measure ${measures})
    get_filename_component(name ${measure} NAME_WE)
    add_executable(${name} ${measure})
    target_link_libraries(${name} PRIVATE hemlockdoor_test_support)
    add_dependencies(${name} hemlockdoor upstream_standin store_standin)
  endforeach()
endfunction()

# hemlockdoor_benches(FOLDER modules...): one program for each FOLDER/*.cc.
function(hemlockdoor_benches folder)
  file(GLOB benches CONFIGURE_DEPENDS ${folder}/*.cc)
  file(GLOB support CONFIGURE_DEPENDS ${folder}/support/*.cc)
  set(libraries ${ARGN})
  list(TRANSFORM libraries PREPEND hemlockdoor_)
  foreach(bench ${benches})
    get_filename_component(name ${bench} NAME_WE)
    add_executable(${name} ${bench} ${support})
    target_link_libraries(${name} PRIVATE ${libraries} benchmark::benchmark)
  endforeach()
endfunction()
